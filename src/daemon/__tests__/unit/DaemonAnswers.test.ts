import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { request } from 'undici';
import { writeEndlessly } from '../../../__tests__/utils/LoopbackServer.js';
import { GatePath, type GateScript } from '../utils/GatePath.js';

/** Longer than it takes to read as much as an answer may have, ms. */
const LONG_DEADLINE_MS = 20_000;

/** What a caller receives: status, content type, body, and whether the body is complete. */
type Answer = readonly [number, string | undefined, string, boolean];

function answer(status: number, lines: readonly string[], body = ''): GateScript {
  return (socket) => socket.write([`HTTP/1.1 ${status} X`, ...lines, '', body].join('\r\n'));
}

const TEXT = 'content-type: text/x-own';

const STREAM = 'content-type: text/event-stream';

const DONE = 'data: [DONE]\n\n';

const CASES: Readonly<Record<string, readonly [GateScript, Answer]>> = {
  'a body': [answer(200, [TEXT, 'content-length: 1'], 'x'), [200, 'text/x-own', 'x', true]],
  JSON: [
    answer(200, ['content-type: application/json', 'content-length: 2'], '{}'),
    [200, 'application/json', '{}', true],
  ],
  'no type': [answer(200, ['content-length: 1'], 'x'), [200, undefined, 'x', true]],
  'an unknown type': [
    answer(200, ['content-type: own', 'content-length: 1'], 'x'),
    [200, 'own', 'x', true],
  ],
  'an empty body': [answer(200, [TEXT, 'content-length: 0']), [200, 'text/x-own', '', true]],
  '204': [answer(204, []), [204, undefined, '', true]],
  '304': [answer(304, []), [304, undefined, '', true]],
  '404': [answer(404, [TEXT, 'content-length: 1'], 'x'), [404, 'text/x-own', 'x', true]],
  '299': [answer(299, [TEXT, 'content-length: 1'], 'x'), [299, 'text/x-own', 'x', true]],
  '599': [answer(599, [TEXT, 'content-length: 1'], 'x'), [599, 'text/x-own', 'x', true]],
  'a stream': [
    (socket) => {
      answer(200, [STREAM, 'connection: close'], `data: 1\n\n${DONE}`)(socket);
      socket.end();
    },
    [200, 'text/event-stream', `data: 1\n\n${DONE}`, true],
  ],
  'no length, and a closed connection': [
    (socket) => {
      answer(200, [TEXT, 'connection: close'], 'answer')(socket);
      socket.end();
    },
    [200, 'text/x-own', 'answer', true],
  ],
};

describe('answers through entry process and gate', () => {
  const path = new GatePath();

  afterEach(() => path.close());

  const call = async (script: GateScript, deadlineMs?: number): Promise<Answer> => {
    const gate = await path.startGate(await path.startEngine(script));
    const port = await path.startEntry(gate, deadlineMs);
    const res = await request(`http://127.0.0.1:${port}/x`, { method: 'POST', body: 'b' });
    const body = await res.body.text().catch(() => null);
    return [
      res.statusCode,
      res.headers['content-type'] as string | undefined,
      body ?? '',
      body !== null,
    ];
  };

  // Guards against a status, type or body that a library fills in and the engine didn't send.
  Object.entries(CASES).forEach(([name, [script, expected]]) => {
    it(`delivers what the engine answered: ${name}`, async () => {
      assert.deepEqual(await call(script), expected);
    });
  });

  const BROKEN: Readonly<Record<string, GateScript>> = {
    'no length, and a reset': (socket) => {
      answer(200, [TEXT, 'connection: close'], 'answer')(socket);
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
    'a length too long': (socket) => {
      answer(200, [TEXT, 'content-length: 9'], 'answer')(socket);
      socket.end();
    },
    'a closed connection without a head': (socket) => socket.end(),
    'bytes that are no answer': (socket) => socket.write('no answer\r\n\r\n'),
  };

  // Guards against a partial or missing answer that looks like a success.
  Object.entries(BROKEN).forEach(([name, script]) => {
    it(`reports an unknown outcome: ${name}`, async () => {
      const [status, , body] = await call(script);
      assert.deepEqual([status, /"code":"(\w+)"/.exec(body)?.[1]], [502, 'outcome_unknown']);
    });
  });

  // Guards against an entry process that keeps a plain answer without end until the deadline.
  it('ends an answer that is too long to be held', async () => {
    const piece = Buffer.alloc(65_536, 'x');
    const [status, , body] = await call((socket) => {
      answer(200, [TEXT, `content-length: ${2 ** 32}`])(socket);
      writeEndlessly(socket, piece);
    }, LONG_DEADLINE_MS);
    assert.deepEqual([status, /"code":"(\w+)"/.exec(body)?.[1]], [502, 'outcome_unknown']);
  });

  it('delivers an answer in chunks of one byte', async () => {
    const chunks = `${'1\r\nx\r\n'.repeat(20_000)}0\r\n\r\n`;
    const got = await call(answer(200, [TEXT, 'transfer-encoding: chunked'], chunks));
    assert.deepEqual(got, [200, 'text/x-own', 'x'.repeat(20_000), true]);
  });

  // Guards against a stream without its final event that looks finished.
  it('ends a stream without its final event with an error event', async () => {
    const [status, , body] = await call((socket) => {
      answer(200, [STREAM, 'connection: close'])(socket);
      socket.end();
    });
    assert.equal(status, 200);
    assert.match(body, /^event: error\n/);
  });
});
