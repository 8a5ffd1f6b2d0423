import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { Dispatcher, Pool } from 'undici';
import { LoopbackServer, writeEndlessly } from '../../../__tests__/utils/LoopbackServer.js';
import { MAX_CHUNKS_PER_TURN, openPool, startCall, type CallListener } from '../../index.js';

/** Prints its port, then for each connection whether it was reset or is still open, and the bytes received. */
const COUNTING_SERVER = `require('net').createServer({ allowHalfOpen: true }, (socket) => {
  let bytes = 0;
  socket.on('data', (chunk) => { bytes += chunk.length; });
  socket.on('error', () => undefined);
  socket.on('end', () => {
    socket.write('x', (err) => console.log((err ? 'reset ' : 'open ') + bytes));
  });
}).listen({ port: 0, host: '127.0.0.1' }, function () { console.log(this.address().port); })`;

const NOOP_LISTENER: CallListener = {
  onStart: () => true,
  onHead: () => undefined,
  onData: () => undefined,
  onEnd: () => undefined,
  onError: () => undefined,
};

interface CountingServer {
  readonly child: ChildProcess;
  readonly origin: string;
  /** Resolves with the next line of its output. */
  readonly nextLine: () => Promise<string>;
}

async function startServer(): Promise<CountingServer> {
  const child = spawn(process.execPath, ['-e', COUNTING_SERVER], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines = createInterface({ input: child.stdout });
  const nextLine = async (): Promise<string> => ((await once(lines, 'line')) as [string])[0];
  return { child, origin: `http://127.0.0.1:${await nextLine()}`, nextLine };
}

/** Sends a request of this size to a stopped server and aborts it; returns the line that the server then prints. */
async function abortAtStoppedServer(bodyBytes: number): Promise<string> {
  const { child, origin, nextLine } = await startServer();
  child.kill('SIGSTOP');
  const endpoint = openPool(origin, 1);
  const body = Buffer.alloc(bodyBytes);
  const call = { method: 'POST', path: '/', headers: ['content-length', `${bodyBytes}`], body };
  const running = startCall(endpoint, call, NOOP_LISTENER);
  await delay(300);
  running.abort();
  await delay(100);
  const line = nextLine();
  child.kill('SIGCONT');
  const ending = await line;
  child.kill('SIGKILL');
  await endpoint.pool.destroy();
  return ending;
}

/** Aborts a call during an answer that ends with its connection; returns the messages of uncaught exceptions. */
async function abortDuring(step: 'onHead' | 'onData'): Promise<readonly string[]> {
  const thrown: string[] = [];
  const onThrown = (err: Error): number => thrown.push(err.message);
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\nhalf'));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const endpoint = openPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
  process.prependListener('uncaughtException', onThrown);
  const call = { method: 'GET', path: '/', headers: [], body: null };
  const running = startCall(endpoint, call, { ...NOOP_LISTENER, [step]: () => running.abort() });
  await delay(100);
  process.off('uncaughtException', onThrown);
  // After an uncaught exception the pool may never be destroyed.
  await Promise.race([endpoint.pool.destroy(), delay(100)]);
  server.close();
  return thrown;
}

/** Sends a call to an endpoint that answers with these bytes and closes; returns the callbacks that were called. */
async function callbacksFor(answer: string): Promise<readonly string[]> {
  const callbacks: string[] = [];
  const server = createServer((socket) => socket.once('data', () => socket.end(answer)));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const endpoint = openPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
  const call = { method: 'GET', path: '/', headers: [], body: null };
  await new Promise<void>((resolve) => {
    const end = (what: string): void => {
      callbacks.push(what);
      resolve();
    };
    startCall(endpoint, call, {
      ...NOOP_LISTENER,
      onHead: (status) => callbacks.push(String(status)),
      onEnd: () => end('end'),
      onError: (_err, sent) => end(sent ? 'error' : 'unsent'),
    });
  });
  await endpoint.pool.destroy();
  server.close();
  return callbacks;
}

/** Chunks of one byte, as many as a socket buffers and more. */
const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(20_000));

/** An endpoint that answers with chunks of one byte without end. */
function endlessServer(): LoopbackServer {
  return new LoopbackServer((socket) => {
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
      writeEndlessly(socket, SMALL_CHUNKS);
    });
  });
}

/** Number of bytes that a server could send. */
function sentBytes({ sockets }: LoopbackServer): number {
  return sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0);
}

/** What the operating system holds of a connection on its way, in bytes. */
const MAX_KERNEL_BYTES = 16 * 1_048_576;

/** A complete answer that leaves the connection open. */
const SHORT_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/**
 * Sends two calls on a connection each. Once the first is answered, its connection is reset while the second answer is
 * sent; returns how the second call ends.
 */
async function endBesideReset(answer: string): Promise<string> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => sockets.push(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const endpoint = openPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 2);
  const call = { method: 'GET', path: '/', headers: [], body: null };
  const send = async (): Promise<string> =>
    new Promise((resolve) => {
      const onError = (): void => resolve('error');
      startCall(endpoint, call, { ...NOOP_LISTENER, onEnd: () => resolve('end'), onError });
    });
  const ends = [send(), send()];
  while (sockets.length < 2) {
    // eslint-disable-next-line no-await-in-loop
    await delay(5);
  }
  const [first, second] = sockets as [Socket, Socket];
  first.write(SHORT_ANSWER);
  await Promise.race(ends);
  first.resetAndDestroy();
  second.end(answer);
  const results = await Promise.all(ends);
  await endpoint.pool.destroy();
  server.close();
  return results.includes('error') ? 'error' : 'end';
}

describe('startCall', () => {
  // Guards against complete answers that are taken for broken as another connection to the endpoint ends meanwhile.
  it('passes on an answer with a length though another connection is reset at the same time', async () => {
    assert.equal(await endBesideReset(SHORT_ANSWER), 'end');
  });

  // Guards against a call that reaches an endpoint twice as the client library starts it again on another connection.
  it('sends a call once, and reports it as sent if it would be started again', () => {
    let starts = 0;
    const results: boolean[] = [];
    const dispatch = (_call: unknown, handler: Dispatcher.DispatchHandler): void => {
      const controller = {
        abort: (err: Error) => handler.onResponseError?.(controller, err),
      } as unknown as Dispatcher.DispatchController;
      handler.onRequestStart?.(controller, {});
      handler.onRequestStart?.(controller, {});
    };
    const pool = { dispatch } as unknown as Pool;
    const endpoint = { ...openPool('http://127.0.0.1:1', 1), pool };
    startCall(
      endpoint,
      { method: 'GET', path: '/', headers: [], body: null },
      {
        ...NOOP_LISTENER,
        onStart: () => {
          starts += 1;
          return true;
        },
        onError: (_err, sent) => results.push(sent),
      },
    );
    assert.deepEqual({ starts, results }, { starts: 1, results: [true] });
  });

  // Without this check, bytes in a coding that isn't decoded would be passed on as the body.
  ['gzip', 'gzip, chunked', 'chunked, gzip'].forEach((coding) => {
    it(`fails an answer with transfer coding ${coding}`, async () => {
      const answer = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n3\r\nabc\r\n0\r\n\r\n`;
      assert.deepEqual(await callbacksFor(answer), ['error']);
    });
  });

  // Guards against a process that handles interim answers without end.
  it('fails an answer after too many interim answers', async () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\n\r\n';
    assert.deepEqual(await callbacksFor(interim.repeat(100) + SHORT_ANSWER), ['200', 'end']);
    assert.deepEqual(await callbacksFor(interim.repeat(101) + SHORT_ANSWER), ['error']);
  });

  // Guards against a buffer of the socket that grows with each pause of an answer in small chunks.
  it('takes in no more than it reads, however often it pauses', async () => {
    const server = endlessServer();
    const endpoint = openPool(`http://127.0.0.1:${await server.start()}`, 1);
    let received = 0;
    const call = { method: 'GET', path: '/', headers: [], body: null, readDelay: () => 4 };
    const running = startCall(endpoint, call, {
      ...NOOP_LISTENER,
      onData: (bytes) => {
        received += bytes.length;
      },
    });
    await delay(4_000);
    const taken = sentBytes(server);
    running.abort();
    await endpoint.pool.destroy();
    server.stop();
    assert.ok(received > 50_000, `${received} bytes received`);
    const framed = 6 * received;
    assert.ok(taken < framed + MAX_KERNEL_BYTES, `${taken} bytes taken, ${framed} passed on`);
  });

  it('passes on nothing while it is paused, and can be aborted then', async () => {
    const server = endlessServer();
    const endpoint = openPool(`http://127.0.0.1:${await server.start()}`, 1);
    let received = 0;
    const running = startCall(
      endpoint,
      { method: 'GET', path: '/', headers: [], body: null },
      {
        ...NOOP_LISTENER,
        onData: (bytes) => {
          received += bytes.length;
          running.pause();
        },
      },
    );
    await delay(200);
    const first = received;
    assert.ok(first > 0 && first <= 2 * MAX_CHUNKS_PER_TURN, `${first} bytes`);
    running.resume();
    await delay(100);
    assert.ok(received > first && received <= first + 2 * MAX_CHUNKS_PER_TURN, `${received} bytes`);
    running.abort();
    const last = received;
    await delay(100);
    assert.equal(received, last);
    await endpoint.pool.destroy();
    server.stop();
  });

  // An uncaught exception on aborting a call during its answer would end the process with all its streams.
  (['onHead', 'onData'] as const).forEach((step) => {
    it(`can be aborted in ${step}`, async () => {
      assert.deepEqual(await abortDuring(step), []);
    });
  });

  // A caller disconnects while its request is being sent to a frozen host. After an orderly close, the kernel
  // would go on delivering the request, and the host would run it for nobody once it resumes. A reset discards
  // what wasn't delivered, and a host that has read the request sees that its caller is gone.
  [200, 60_000, 500_000, 4_000_000].forEach((bodyBytes) => {
    it(`resets the connection of an aborted request of ${bodyBytes} bytes to a frozen host`, async () => {
      assert.match(await abortAtStoppedServer(bodyBytes), /^reset /);
    });
  });

  // As above, with more than the host's kernel buffers: the rest must not arrive once the host resumes.
  it('delivers nothing more of an aborted request later', async () => {
    const [, bytes] = (await abortAtStoppedServer(500_000)).split(' ');
    assert.ok(Number(bytes) < 500_000, `${bytes} bytes`);
  });
});
