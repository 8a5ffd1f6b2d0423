/** Failures on the path of a request, with real processes over loopback. The tests share one system. */
import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { expectedAnswer, FINAL_EVENT } from '../../../fakes/FakeEngine.js';
import type { ErrorBody } from '../../../src/protocol/index.js';
import { isReady, QuickstartCluster, waitReady, waitUntil } from '../../QuickstartCluster.js';
import { countRuns } from '../../QuickstartLoad.js';

const TOKEN_MS = 20;

const MANIFEST = JSON.stringify({
  fleet: 'stockdesk',
  version: 1,
  availabilityZones: [{ name: 'ikeja', region: 'lagos-west' }],
  models: [{ name: 'stock-narrative' }],
  services: [{ name: 'stock-narrative', kind: 'model', model: 'stock-narrative' }],
  customers: [{ name: 'kano' }],
});

interface Answer {
  readonly status: number;
  readonly text: string;
}

describe('requests under failure', () => {
  let cluster: QuickstartCluster;
  let folder = '';

  const body = (user: string, stream: boolean, tokens: number) => ({
    model: 'stock-narrative',
    stream,
    max_tokens: tokens,
    prompt: 'shelf',
    user,
  });

  const send = async (
    spec: ReturnType<typeof body>,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Answer> => {
    const response = await request(`http://${cluster.addresses.entries[0] ?? ''}/v1/completions`, {
      method: 'POST',
      headers: { 'x-customer': 'kano', ...headers },
      body: JSON.stringify(spec),
    });
    const text = await response.body.text();
    return { status: response.statusCode, text };
  };

  /** Endpoint whose engine runs a request, by the run counts of the stand-ins. */
  const findEngine = async (user: string): Promise<string> => {
    let found = '';
    await waitUntil(`${user} runs`, 5_000, async () => {
      const all = await Promise.all(
        Object.entries(cluster.addresses.engines).map(async ([id, address]) => ({
          id,
          runs: (await countRuns([address])).get(user) ?? 0,
        })),
      );
      found = all.find(({ runs }) => runs > 0)?.id ?? '';
      return found !== '';
    });
    return found;
  };

  const errorOf = ({ text }: Answer): ErrorBody['error'] => (JSON.parse(text) as ErrorBody).error;

  /** Waits until both endpoints accept requests again. */
  const waitBothServing = async (): Promise<void> => {
    const control = cluster.addresses.controls[0] ?? '';
    await waitUntil('two endpoints serve', 15_000, async () => {
      const response = await request(`http://${control}/v1/endpoints`);
      const { endpoints } = (await response.body.json()) as {
        endpoints: readonly { readonly status: string; readonly address: string }[];
      };
      const serving = endpoints.filter(({ status }) => status === 'serving');
      // A gate that was killed is listed until its lease expires, so each is asked for its readiness.
      const ready = await Promise.all(serving.map(async ({ address }) => isReady(address)));
      return ready.length === 2 && ready.every(Boolean);
    });
    await delay(200);
  };

  before(async () => {
    folder = await mkdtemp(path.join(os.tmpdir(), 'laburnumgauge-data-'));
    cluster = new QuickstartCluster({
      folder,
      fleet: 'stockdesk',
      zones: ['ikeja'],
      entriesPerZone: 1,
      endpoints: [1, 2].map((n) => ({
        id: `engine-${n}`,
        zone: 'ikeja',
        service: 'stock-narrative',
        kind: 'engine' as const,
      })),
      engine: [8, 10, TOKEN_MS],
      logLevel: 'info',
    });
    await cluster.start();
    await request(`http://${cluster.addresses.controls[0] ?? ''}/v1/manifests`, {
      method: 'POST',
      body: MANIFEST,
    });
    await waitReady(cluster.addresses.entries);
    await waitBothServing();
  });

  after(async () => {
    cluster.processes.names.forEach((name) => cluster.processes.get(name).kill('SIGCONT'));
    await cluster.processes.stopAll(3_000);
    await rm(folder, { recursive: true });
  });

  // A gate is killed while it runs a request that isn't streamed. The request is repeatable, so it runs again at
  // the other endpoint, and the caller receives one complete answer and nothing else.
  it('runs a repeatable request at another endpoint when its gate is killed', async () => {
    const spec = body('repeat', false, 40);
    const answer = send(spec);
    const engine = await findEngine('repeat');
    await cluster.processes.stop(engine, 'SIGKILL');
    assert.equal((await answer).text, expectedAnswer(spec));
    cluster.restart(engine);
    await waitBothServing();
  });

  // As above, for a request that isn't repeatable. It was started and its progress is unknown: the caller gets the
  // outcome `unknown` at once, long before the deadline, and the request has run once.
  it('answers with the outcome unknown at once for a request that is not repeatable', async () => {
    const spec = body('once', false, 40);
    const answer = send(spec, { 'x-repeatable': 'false' });
    const engine = await findEngine('once');
    await cluster.processes.stop(engine, 'SIGKILL');
    const sent = await answer;
    assert.equal(errorOf(sent).outcome, 'unknown');
    const runs = await countRuns(Object.values(cluster.addresses.engines));
    assert.equal(runs.get('once'), 1);
    cluster.restart(engine);
    await waitBothServing();
  });

  // An engine crashes in the middle of a stream while its gate keeps running. Events that were sent can't be taken
  // back, so the stream must end with an error event, and not like a complete one.
  it('ends an interrupted stream with an error event', async () => {
    const spec = body('stream', true, 60);
    const answer = send(spec);
    const engine = await findEngine('stream');
    await delay(TOKEN_MS * 5);
    await cluster.processes.stop(`fake-${engine}`, 'SIGKILL');
    const { text } = await answer;
    assert.ok(!text.includes(FINAL_EVENT));
    assert.match(text, /event: error\ndata: .*"code":"answer_cut"/);
    const whole = text.slice(0, text.indexOf('event: error'));
    assert.ok(whole.length > 0 && expectedAnswer(spec).startsWith(whole));
    cluster.restartFake(engine);
    await waitUntil('the stand-in listens', 5_000, async () =>
      countRuns([cluster.addresses.engines[engine] ?? '']).then(
        () => true,
        () => false,
      ),
    );
  });

  // An endpoint is asked to stop while a stream runs that lasts longer than the linger time and several lease
  // periods. New requests go elsewhere at once; the stream is delivered to its end, and only then does the process
  // exit, with code 0.
  it('completes a stream at a leaving endpoint, and sends it no new requests', async () => {
    const spec = body('long', true, 300);
    const answer = send(spec);
    const leaving = await findEngine('long');
    const left = cluster.processes.stop(leaving);
    await delay(300);
    const newRequests = Array.from({ length: 6 }, (_item, i) => body(`news-${i}`, false, 2));
    const answers = await Promise.all(newRequests.map(async (item) => send(item)));
    assert.deepEqual(
      answers.map(({ text }) => text),
      newRequests.map(expectedAnswer),
    );
    const there = await countRuns([cluster.addresses.engines[leaving] ?? '']);
    assert.equal([...there.keys()].filter((user) => user.startsWith('news-')).length, 0);
    assert.equal((await answer).text, expectedAnswer(spec));
    assert.equal(await left, 0);
    cluster.restart(leaving);
    await waitBothServing();
  });

  // A gate is frozen while it runs a request: neither an answer nor the end of the connection arrives. At the
  // deadline the caller must get its final answer, which says that the request may have been run.
  it('answers at the deadline when a gate is frozen', async () => {
    const spec = body('frozen', false, 100);
    const answer = send(spec, { 'x-deadline-ms': '1200', 'x-repeatable': 'false' });
    const engine = await findEngine('frozen');
    cluster.processes.get(engine).kill('SIGSTOP');
    const sent = await answer;
    cluster.processes.get(engine).kill('SIGCONT');
    assert.deepEqual([sent.status, errorOf(sent).outcome], [504, 'unknown']);
  });

  // A request crashes each engine that begins to run it, and is retried at once where that is allowed. The gates keep
  // running and observe the crashes. After the third crash the request must be sent to no engine, and another one of
  // the same customer must be served as before.
  it('quarantines a request that has crashed three engines', async () => {
    const fatal = { ...body('fatal', false, 4), fatal: true };
    const names = ['fake-engine-1', 'fake-engine-2'];
    /** Restarts the stand-ins that have exited; returns their number. */
    const restartCrashed = (): number => {
      const crashed = names.filter((name) => cluster.processes.get(name).exitCode !== null);
      crashed.forEach((name) => cluster.restartFake(name.replace('fake-', '')));
      return crashed.length;
    };
    /** Waits until both stand-ins listen again; returns how many had exited. */
    const waitAllListening = async (): Promise<number> => {
      let count = 0;
      await waitUntil('the stand-ins listen', 10_000, async () => {
        // The exit of a process is reported a moment after its connections have closed.
        count += restartCrashed();
        return countRuns(Object.values(cluster.addresses.engines)).then(
          () => true,
          () => false,
        );
      });
      return count;
    };
    const crashes: number[] = [];
    const codes: string[] = [];
    for (let i = 0; i < 4; i += 1) {
      // eslint-disable-next-line no-await-in-loop
      codes.push(errorOf(await send(fatal)).code);
      // eslint-disable-next-line no-await-in-loop
      crashes.push(await waitAllListening());
    }
    assert.deepEqual(crashes, [2, 1, 0, 0]);
    assert.deepEqual(codes.slice(2), ['quarantined', 'quarantined']);
    const spec = body('beside', false, 4);
    assert.equal((await send(spec)).text, expectedAnswer(spec));
  });
});
