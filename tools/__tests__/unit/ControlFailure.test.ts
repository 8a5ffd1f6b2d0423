/** Failures of control processes, with real processes over loopback. The tests share one system and run in order. */
import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { expectedReply } from '../../../fakes/FakeService.js';
import type { SubmitReply } from '../../../src/protocol/index.js';
import { QuickstartCluster, waitReady, waitUntil } from '../../QuickstartCluster.js';

const ZONES = ['ikeja', 'apapa', 'lekki'] as const;
const CONTROLS = ZONES.map((zone) => QuickstartCluster.controlName(zone));

/** Number of lines of each process's log that a failure message includes. */
const LOG_LINES = 40;

interface ControlRow {
  readonly name: string;
  readonly replica: string;
  readonly role: string;
  readonly voters: readonly string[];
  readonly rollout: string;
  readonly configIndex: number;
  readonly attached: readonly { readonly id: string }[];
}

interface Status {
  readonly controls: readonly ControlRow[];
  readonly configIndex: number;
  readonly inForce: number;
  readonly live: number;
}

function manifest(version: number, limit = 64): string {
  return JSON.stringify({
    fleet: 'stockdesk',
    version,
    availabilityZones: ZONES.map((name) => ({ name, region: 'lagos-west' })),
    services: [{ name: 'lookup', kind: 'plain', path: '/lookup', repeatable: true }],
    customers: [{ name: 'kano', maxInFlight: limit + (version % 7) }],
  });
}

describe('control processes under failure', () => {
  let cluster: QuickstartCluster;
  let folder = '';
  let version = 0;

  const httpAddress = (name: string): string =>
    cluster.addresses.controls[CONTROLS.indexOf(name)] ?? '';

  const status = async (name: string): Promise<Status> => {
    const response = await request(`http://${httpAddress(name)}/v1/status`);
    return (await response.body.json()) as Status;
  };

  /** Processes attached to each control process, as it reports them, for a failure message. */
  const describeAttachments = async (): Promise<string> => {
    const rows = await Promise.all(
      CONTROLS.map(async (name) => (await status(name)).controls.find((row) => row.name === name)),
    );
    return rows
      .map((row) => `${row?.name}: ${row?.attached.map(({ id }) => id).join(' ')}`)
      .join('; ');
  };

  /** Runs a step; adds the end of each process's log and the attachments to the message of a failure. */
  const withLogs = async (step: () => Promise<void>): Promise<void> => {
    try {
      await step();
    } catch (err) {
      const attached = await describeAttachments().catch((unknown: unknown) => String(unknown));
      const logs = await cluster.processes.readLogs(LOG_LINES);
      throw new Error(`${(err as Error).message}\n${attached}\n${logs}`, { cause: err });
    }
  };

  const post = async (name: string, route: string, body: string): Promise<unknown> => {
    const response = await request(`http://${httpAddress(name)}${route}`, { method: 'POST', body });
    return response.body.json();
  };

  /** Submits a manifest repeatedly until the outcome is known. */
  const submit = async (name: string, text: string): Promise<SubmitReply> => {
    let reply: SubmitReply = { result: 'unavailable', reason: '' };
    await waitUntil('the outcome of a submission', 15_000, async () => {
      try {
        reply = (await post(name, '/v1/manifests', text)) as SubmitReply;
      } catch {
        return false;
      }
      return reply.result !== 'unavailable';
    });
    return reply;
  };

  const findLeader = async (among: readonly string[] = CONTROLS): Promise<string> => {
    let leader = '';
    await waitUntil('a leader', 15_000, async () => {
      const rows = (await status(among[0] ?? '')).controls;
      leader = rows.find((row) => row.role === 'leader' && among.includes(row.name))?.name ?? '';
      return leader !== '';
    });
    return leader;
  };

  const waitInForce = async (name: string, limitMs = 10_000): Promise<void> =>
    waitUntil('in force everywhere', limitMs, async () => {
      const { inForce: count, live } = await status(name);
      return count === live && live === ZONES.length * 2;
    });

  /** Sends a request through the entry process of a zone; its answer must be complete. */
  const call = async (zone: number): Promise<void> => {
    const response = await request(`http://${cluster.addresses.entries[zone] ?? ''}/lookup/x`, {
      method: 'POST',
      headers: { 'x-customer': 'kano' },
      body: 'shelf',
    });
    assert.equal(await response.body.text(), expectedReply('/lookup/x', 'shelf'));
  };

  before(async () => {
    folder = await mkdtemp(path.join(os.tmpdir(), 'laburnumgauge-control-'));
    cluster = new QuickstartCluster({
      folder,
      fleet: 'stockdesk',
      zones: ZONES,
      entriesPerZone: 1,
      endpoints: ZONES.map((zone) => ({
        id: `lookup-${zone}`,
        zone,
        service: 'lookup',
        kind: 'service' as const,
      })),
      engine: [8, 1, 1],
      logLevel: 'info',
      extraControlArgs: ['--test-switch', 'true', '--compact-every', '64'],
    });
    await withLogs(async () => {
      await cluster.start();
      version += 1;
      assert.equal((await submit(CONTROLS[0] ?? '', manifest(version))).result, 'accepted');
      await waitReady(cluster.addresses.entries);
      await waitInForce(CONTROLS[0] ?? '');
    });
  });

  after(async () => {
    CONTROLS.forEach((name) => cluster.processes.get(name).kill('SIGCONT'));
    await cluster.processes.stopAll(3_000);
    await rm(folder, { recursive: true });
  });

  // The leader is killed during a submission, and the submitter gets no reply. It resends the same manifest to
  // another control process: the version must be accepted exactly once, whichever process decided it. Other
  // content under that version must be a conflict from then on, and the old leader must give the same reply.
  it('gives a resent submission one outcome when the leader is killed', async () =>
    withLogs(async () => {
      const leader = await findLeader();
      const other = CONTROLS.find((name) => name !== leader) ?? '';
      version += 1;
      const lost = post(leader, '/v1/manifests', manifest(version)).catch(() => undefined);
      await delay(2);
      await cluster.processes.stop(leader, 'SIGKILL');
      await lost;
      const accepted = await submit(other, manifest(version));
      assert.equal(accepted.result, 'accepted');
      assert.equal((await submit(other, manifest(version, 99))).result, 'conflict');
      cluster.restart(leader);
      await waitReady([httpAddress(leader)]);
      assert.deepEqual(await submit(leader, manifest(version)), accepted);
      await waitInForce(other);
    }));

  // The leader is frozen for longer than an election takes, and the others accept a change meanwhile. It resumes
  // in the belief that it leads. A conflicting manifest submitted to it must meet the acceptance that it missed,
  // and no process may go back to an older configuration.
  it('refuses a submission at a frozen leader that conflicts with a newer acceptance', async () =>
    withLogs(async () => {
      const leader = await findLeader();
      const others = CONTROLS.filter((name) => name !== leader);
      version += 1;
      cluster.processes.get(leader).kill('SIGSTOP');
      const accepted = await submit(others[0] ?? '', manifest(version));
      assert.equal(accepted.result, 'accepted');
      const race = post(leader, '/v1/manifests', manifest(version, 500)) as Promise<SubmitReply>;
      await delay(500);
      cluster.processes.get(leader).kill('SIGCONT');
      const raced = await race;
      const settled =
        raced.result === 'unavailable' ? await submit(leader, manifest(version, 500)) : raced;
      assert.equal(settled.result, 'conflict');
      await waitInForce(leader);
    }));

  // A host loses its disk and returns with an empty one; as soon as it votes, a second host crashes. The repaired
  // host must hold the whole log by then, under a new identity, and form the quorum with the third host that
  // accepts the next change.
  it('continues when a second host fails right after the first was repaired', async () =>
    withLogs(async () => {
      const [lost = '', second = '', third = ''] = CONTROLS;
      const old = (await status(third)).controls.find(({ name }) => name === lost)?.replica ?? '';
      await cluster.processes.stop(lost, 'SIGKILL');
      await rm(path.join(folder, 'data', lost), { recursive: true });
      cluster.restart(lost);
      await waitUntil('the repaired replica votes', 20_000, async () => {
        const { controls } = await status(third);
        const fresh = controls.find(({ name }) => name === lost)?.replica ?? '';
        const voters = controls.find(({ name }) => name === third)?.voters ?? [];
        return voters.includes(fresh) && !voters.includes(old) && voters.length === 3;
      });
      await cluster.processes.stop(second, 'SIGKILL');
      version += 1;
      assert.equal((await submit(third, manifest(version))).result, 'accepted');
      cluster.restart(second);
      await waitReady([httpAddress(second)]);
      await waitInForce(third);
    }));

  // An AZ is cut off. The others accept a change, and the AZ continues to serve with its own configuration. Its
  // control process and its entry process both restart while it is cut off: neither may return with an older
  // configuration, and the AZ must serve again. Once the network is restored, it receives the change.
  it('serves in a cut-off AZ through two restarts without an older configuration', async () =>
    withLogs(async () => {
      const cutOff = CONTROLS[2] ?? '';
      const others = CONTROLS.slice(0, 2);
      const hasBothAttached = async (): Promise<boolean> => {
        const own = (await status(cutOff)).controls.find(({ name }) => name === cutOff);
        return own?.attached.length === 2;
      };
      const allHere = 'all attached to the control process of their AZ';
      await waitUntil(allHere, 20_000, hasBothAttached);
      const indexBefore = (await status(cutOff)).configIndex;
      const cut = JSON.stringify({ peers: [cutOff, 'entry-lekki-1', 'lookup-lekki'] });
      await Promise.all(others.map(async (name) => post(name, '/test/cut', cut)));
      await post(cutOff, '/test/cut', JSON.stringify({ peers: others }));
      await findLeader(others);
      version += 1;
      assert.equal((await submit(others[0] ?? '', manifest(version))).result, 'accepted');
      await call(2);
      await cluster.processes.stop(cutOff, 'SIGKILL');
      cluster.restart(cutOff, ['--test-cut', others.join(',')]);
      await cluster.processes.stop('entry-lekki-1', 'SIGKILL');
      cluster.restart('entry-lekki-1');
      await waitReady([httpAddress(cutOff), cluster.addresses.entries[2] ?? '']);
      const own = (await status(cutOff)).controls.find(({ name }) => name === cutOff);
      assert.deepEqual([own?.rollout, own?.configIndex], ['cutOff', indexBefore]);
      await waitUntil('the endpoint is attached again', 20_000, hasBothAttached);
      await call(2);
      const refused = (await post(cutOff, '/v1/manifests', manifest(version + 1))) as SubmitReply;
      assert.equal(refused.result, 'unavailable');
      const heal = JSON.stringify({ peers: [] });
      await Promise.all(CONTROLS.map(async (name) => post(name, '/test/cut', heal)));
      await waitInForce(others[0] ?? '', 30_000);
    }));

  // After 300 changes every process is killed and restarted, as after a power cut. All must return with the newest
  // configuration, and a resend of an early version must get its original reply.
  it('restores the newest configuration after 300 changes and a restart of all processes', async () =>
    withLogs(async () => {
      const leader = await findLeader();
      const first = await submit(leader, manifest(version + 1));
      const last = version + 300;
      const next = async (n: number): Promise<void> => {
        if (n <= last) {
          assert.equal((await submit(leader, manifest(n))).result, 'accepted');
          await next(n + 1);
        }
      };
      await next(version + 2);
      const newest = (await status(leader)).configIndex;
      const daemons = cluster.processes.names.filter((name) => !name.startsWith('fake-'));
      await Promise.all(daemons.map(async (name) => cluster.processes.stop(name, 'SIGKILL')));
      daemons.forEach((name) => cluster.restart(name));
      await waitReady([...cluster.addresses.controls, ...cluster.addresses.entries]);
      await waitInForce(leader, 20_000);
      assert.equal((await status(leader)).configIndex, newest);
      assert.deepEqual(await submit(leader, manifest(version + 1)), first);
      await Promise.all([0, 1, 2].map(call));
      version = last;
    }));
});
