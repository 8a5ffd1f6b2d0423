import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import {
  CUT_ENDS,
  cutForms,
  cutsOf,
  CutServer,
  type CutForm,
} from '../../../__tests__/utils/CutAnswers.js';
import { openPool, startCall, type EndpointPool } from '../../index.js';

/** Sends a call; resolves with its end, and the body where it is complete. */
async function call({ origin, pool, ...rest }: EndpointPool): Promise<string> {
  return new Promise((resolve) => {
    const received: Buffer[] = [];
    startCall(
      { origin, pool, ...rest },
      { method: 'GET', path: '/', headers: [], body: null },
      {
        onStart: () => true,
        onHead: () => undefined,
        onData: (bytes) => received.push(bytes),
        onEnd: () => resolve(`whole: ${Buffer.concat(received).toString()}`),
        onError: (_err, sent) => resolve(sent ? 'error' : 'unsent'),
      },
    );
  });
}

const FORMS = cutForms(['x-seal: s1']);

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst';

/** Heads whose line with the length goes on with the next header. */
const JOINED_LINES: Readonly<Record<string, string>> = {
  'within the line': 'content-length: 1content-type: text/plain',
  'on a line of its own': 'content-length: 1\r\n content-type: text/plain',
};

describe('answers that are broken off after each byte', () => {
  const server = new CutServer();
  let origin = '';

  before(async () => {
    origin = `http://127.0.0.1:${await server.start()}`;
  });

  after(() => server.stop());

  /** Sends `calls` calls one after the other on one connection; returns how they ended. */
  const callInTurn = async (calls: number): Promise<readonly string[]> => {
    const endpoint = openPool(origin, 1);
    const ends: string[] = [];
    for (let i = 0; i < calls; i += 1) {
      // eslint-disable-next-line no-await-in-loop
      ends.push(await call(endpoint));
    }
    await endpoint.pool.destroy();
    return ends;
  };

  const forEachCut = async (
    form: CutForm,
    check: (cut: string, end: (typeof CUT_ENDS)[string], label: string) => Promise<void>,
  ): Promise<void> => {
    const cases = Object.entries(CUT_ENDS).flatMap(([name, end]) =>
      cutsOf(form).map((bytes) => ({ name, end, bytes })),
    );
    // eslint-disable-next-line no-restricted-syntax -- one at a time, as they share the server's script
    for (const { name, end, bytes } of cases) {
      // eslint-disable-next-line no-await-in-loop
      await check(form.text.slice(0, bytes), end, `${bytes} bytes, ${name}`);
    }
  };

  Object.entries(FORMS).forEach(([name, form]) => {
    // Guards against a part of a head, or of a body, that is reported as a complete answer.
    it(`never reports a part of an answer as complete: ${name}`, async () => {
      await forEachCut(form, async (cut, end, label) => {
        server.script = { answers: [cut], end };
        assert.deepEqual(await callInTurn(1), ['error'], label);
      });
    });

    // Guards against what is kept of an earlier answer on the connection.
    it(`never reports a part of a second answer as complete: ${name}`, async () => {
      await forEachCut(form, async (cut, end, label) => {
        server.script = { answers: [WHOLE, cut], end };
        assert.deepEqual(await callInTurn(2), ['whole: first', 'error'], label);
      });
    });

    // Guards against bytes after an answer, in the same packet, that are taken for a part of it or for the next.
    it(`keeps a complete answer apart from the part behind it: ${name}`, async () => {
      await forEachCut(form, async (cut, end, label) => {
        server.script = { answers: [WHOLE + cut], end };
        const [first, second] = await callInTurn(2);
        assert.equal(first, 'whole: first', label);
        assert.ok(second === 'whole: first' || second === 'error', `${second}, ${label}`);
      });
    });
  });

  // Guards against a length that is read from a line with a part of another.
  Object.entries(JOINED_LINES).forEach(([name, line]) => {
    it(`reports no complete answer with a length that another header cuts ${name}`, async () => {
      const answer = `HTTP/1.1 200 OK\r\nx-seal: s1\r\n${line}\r\n\r\nwhole answer`;
      server.script = { answers: [answer], end: (socket) => socket.end() };
      assert.deepEqual(await callInTurn(1), ['error']);
    });
  });
});
