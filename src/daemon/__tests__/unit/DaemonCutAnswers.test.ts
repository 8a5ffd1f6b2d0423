import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { request } from 'undici';
import { CUT_ENDS, cutForms, cutsOf } from '../../../__tests__/utils/CutAnswers.js';
import { CutProxy } from '../../../__tests__/utils/CutProxy.js';
import { GatePath, type GateScript } from '../utils/GatePath.js';

/** What a caller receives: status, and body if it is complete. */
type Answer = readonly [number, string | null];

/** Between them, parts of answers are tried at each byte with one way to end a connection, and at some with the others. */
const STEPS: Readonly<Record<string, number>> = {
  closed: 1,
  'reset after a pause': 5,
  'closed after a pause': 5,
};

/** End of a chunk, and the chunk that ends a body. */
const MAX_BODY_END_BYTES = '\r\n0\r\n\r\n'.length + 1;

const DONE_STREAM = 'data: 1\n\ndata: [DONE]\n\n';

/** Closes the connection, as the stand-in engine answers one request on each. */
const PLAIN: GateScript = (socket) =>
  socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nwhole');

const STREAM: GateScript = (socket) =>
  socket.end(`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n${DONE_STREAM}`);

async function call(port: number): Promise<Answer> {
  const res = await request(`http://127.0.0.1:${port}/x`, { method: 'POST', body: 'b' });
  const body = await res.body.text().catch(() => null);
  return [res.statusCode, body];
}

describe('answers through entry process and gate that are broken off after each byte', () => {
  const path = new GatePath();
  const proxies: CutProxy[] = [];

  afterEach(() => {
    proxies.splice(0).forEach((proxy) => proxy.stop());
    path.close();
  });

  // Guards against a part of a head, or of a body, that a gate passes on as a complete answer.
  Object.entries(cutForms([])).forEach(([name, form]) => {
    it(`passes on no part of an engine's answer as complete: ${name}`, async () => {
      let script: GateScript = PLAIN;
      const engine = await path.startEngine((socket) => script(socket));
      const port = await path.startEntry(await path.startGate(engine));
      const cases = Object.entries(CUT_ENDS).flatMap(([how, end]) =>
        cutsOf(form)
          .filter((bytes) => bytes % (STEPS[how] ?? 1) === 0)
          .map((bytes) => ({ how, end, bytes })),
      );
      // eslint-disable-next-line no-restricted-syntax -- one at a time, as they share the engine's script
      for (const { how, end, bytes } of cases) {
        script = (socket) => {
          socket.write(form.text.slice(0, bytes));
          end(socket);
        };
        // eslint-disable-next-line no-await-in-loop
        const got = await call(port);
        const isError = got[0] === 502 || (got[1] ?? '').includes('event: error\n');
        assert.ok(isError, `${bytes} bytes, ${how}: ${JSON.stringify(got)}`);
      }
    });
  });

  // Guards against a gate that ends inside its answer, which an entry process then passes on as complete.
  Object.entries({ 'a plain answer': PLAIN, 'a stream': STREAM }).forEach(([name, script]) => {
    it(`passes on no part of a gate's answer as complete: ${name}`, async () => {
      let runs = 0;
      const engine = await path.startEngine((socket) => {
        runs += 1;
        script(socket);
      });
      const gate = await path.startGate(engine);
      const [host = '', gatePort] = gate.address.split(':');
      const proxy = new CutProxy({ host, port: Number(gatePort) });
      proxies.push(proxy);
      const port = await path.startEntry({ ...gate, address: `127.0.0.1:${await proxy.start()}` });
      const whole = await call(port);
      assert.equal(whole[0], 200);
      const { longest } = proxy;
      const cases = Object.entries(CUT_ENDS).flatMap(([how, end]) =>
        Array.from({ length: longest - 1 }, (_item, i) => i + 1)
          .filter((bytes) => bytes % (STEPS[how] ?? 1) === 0)
          .map((bytes) => ({ how, end, bytes })),
      );
      // eslint-disable-next-line no-restricted-syntax -- one at a time, as they share the proxy
      for (const { how, end, bytes } of cases) {
        Object.assign(proxy, { end, maxBytes: bytes });
        const runsBefore = runs;
        // eslint-disable-next-line no-await-in-loop
        const got = await call(port);
        const isRefused = got[0] === 503 && runs === runsBefore;
        const isError = got[0] === 502 || got[1] === null || got[1].includes('event: error\n');
        // The last frame says that the answer is complete; what follows it only ends the body.
        const isWhole = got.join() === whole.join() && bytes > longest - MAX_BODY_END_BYTES;
        const label = `${bytes} of ${longest} bytes, ${how}: ${got.join(' ')}`;
        assert.ok(isError || isRefused || isWhole, label);
      }
    });
  });
});
