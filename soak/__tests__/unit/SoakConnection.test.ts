import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { SoakConnection, type SoakCall, type SoakCallResult } from '../../SoakConnection.js';
import { streamEvent } from '../../SoakStream.js';

const CALL: SoakCall = {
  path: '/ask/x',
  headers: { host: 'a' },
  body: 'question',
  timeoutMs: 300,
  abortAfter: null,
};

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: s1\r\n';

const PLAIN_ANSWER = `${HEAD}Content-Length: 6\r\n\r\nanswer`;

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const CHUNKED_START = `${HEAD}Transfer-Encoding: chunked\r\n\r\n${chunk(streamEvent('s1', 1))}${chunk(streamEvent('s1', 2))}`;

describe('soak caller connection', () => {
  let onRequest: (socket: Socket) => void = () => undefined;
  let received = '';
  let server: Server;
  let address = { host: '127.0.0.1', port: 0 };

  before(async () => {
    server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => socket.destroy());
      socket.on('data', (data) => {
        received += data.toString();
        onRequest(socket);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
  });

  after(() => server.close());

  async function ask(
    answer: (socket: Socket) => void,
    call: Partial<SoakCall> = {},
  ): Promise<{ readonly connection: SoakConnection; readonly result: SoakCallResult }> {
    onRequest = answer;
    received = '';
    const connection = new SoakConnection(address);
    const result = await connection.call({ ...CALL, ...call });
    return { connection, result };
  }

  it('reads an answer in pieces of any size, and is reused', async () => {
    const { connection, result } = await ask((socket) => {
      [...Buffer.from(PLAIN_ANSWER)].forEach((byte, i) =>
        setTimeout(() => socket.write(Buffer.of(byte)), i),
      );
    });
    assert.equal(received, 'POST /ask/x HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\nquestion');
    assert.deepEqual([result.outcome, result.status, result.body], ['whole', 200, 'answer']);
    assert.equal(result.header('x-id'), 's1');
    onRequest = (socket) => socket.write(`${CHUNKED_START}0\r\n\r\n`);
    const next = await connection.call(CALL);
    assert.deepEqual(
      [next.outcome, next.body],
      ['whole', streamEvent('s1', 1) + streamEvent('s1', 2)],
    );
    connection.close();
  });

  it('completes an answer without a length at a FIN, not at a reset', async () => {
    const unframed = `${HEAD}\r\nanswer`;
    const { result } = await ask((socket) => socket.end(unframed));
    assert.deepEqual([result.outcome, result.body], ['whole', 'answer']);
    const broken = await ask((socket) => {
      socket.write(unframed);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    assert.equal(broken.result.outcome, 'broken');
  });

  // A truncated answer must not look complete.
  it('reports a truncated answer as broken, and leaves the connection open', async () => {
    const { connection, result } = await ask((socket) => socket.end(CHUNKED_START));
    assert.equal(result.outcome, 'broken');
    assert.ok(connection.isOpen);
    const short = await ask((socket) => socket.end(PLAIN_ANSWER.slice(0, -1)));
    assert.equal(short.result.outcome, 'broken');
    [connection, short.connection].forEach((item) => item.close());
  });

  // Bytes behind an answer, or on a connection without a pending request, must be reported.
  it('reports bytes that belong to no answer', async () => {
    const { connection, result } = await ask((socket) => socket.write(`${PLAIN_ANSWER}more`));
    assert.deepEqual([result.body, result.stray], ['answer', 'more']);
    connection.close();
    const late = await ask((socket) => {
      socket.write(PLAIN_ANSWER);
      setTimeout(() => socket.write(PLAIN_ANSWER), 20);
    });
    await delay(80);
    onRequest = (socket) => socket.write(PLAIN_ANSWER);
    assert.equal((await late.connection.call(CALL)).stray, PLAIN_ANSWER);
    late.connection.close();
    const garbled = await ask((socket) => socket.write('no answer\r\n\r\n'));
    assert.notEqual(garbled.result.stray, '');
    garbled.connection.close();
  });

  it('aborts after the number of events that its caller gives', async () => {
    const { connection, result } = await ask((socket) => socket.write(CHUNKED_START), {
      abortAfter: 2,
    });
    assert.deepEqual([result.outcome, connection.isOpen], ['left', false]);
  });

  it('ends a call at its timeout', async () => {
    const { result } = await ask(() => undefined);
    assert.deepEqual([result.outcome, result.status], ['deadline', 0]);
  });
});
