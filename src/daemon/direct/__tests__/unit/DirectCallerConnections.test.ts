import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { DirectCallerConnections } from '../../DirectCallerConnections.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';

/** Duration of a request, and time limit for receiving a head, ms. */
const RUN_MS = 150;
const HEAD_MS = 40;

/** Waits until a condition holds; the runner's own time limit ends a test in which it never does. */
async function waitFor(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    // eslint-disable-next-line no-await-in-loop
    await delay(10);
  }
}

describe('DirectCallerConnections', () => {
  const closers: (() => void)[] = [];

  afterEach(() => closers.splice(0).forEach((close) => close()));

  /** Sends a text on a connection, and returns the status lines received until it ends. */
  const send = async (text: string): Promise<readonly string[]> => {
    const server = createServer({ connectionsCheckingInterval: 10 });
    const connections = new DirectCallerConnections(server);
    server.on('request', (req, res) => {
      connections.onRequest(req, res);
      req.resume();
      req.on('end', () => {
        setTimeout(() => res.writeHead(200, { 'content-length': 0 }).end(), RUN_MS);
      });
    });
    server.headersTimeout = HEAD_MS;
    server.requestTimeout = 0;
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    closers.push(
      () => socket.destroy(),
      () => server.close(),
    );
    return new Promise((resolve, reject) => {
      let got = '';
      socket.on('data', (data) => {
        got += data.toString();
      });
      socket.on('error', reject);
      socket.on('end', () =>
        resolve([...got.matchAll(/^HTTP\/1.1 (.*)\r$/gm)].map(([, s]) => s ?? '')),
      );
      socket.write(text);
    });
  };

  const LARGE = `GET / HTTP/1.1\r\nx: ${'a'.repeat(20_000)}\r\n\r\n`;

  // The answer to input after a request in progress must not be sent in place of that request's answer.
  const behind: Readonly<Record<string, string>> = {
    'that is no request': 'no request\r\n\r\n',
    'whose head is too large': LARGE,
    'whose head does not arrive in time': 'GET / HT',
    'whose body can not be parsed':
      'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nx',
  };
  Object.entries(behind).forEach(([name, text]) => {
    it(`answers the request in progress before input ${name}`, async () => {
      assert.deepEqual(await send(REQUEST + text), ['200 OK']);
    });
  });

  it('names the error where no request is in progress', async () => {
    assert.deepEqual(await send('no request\r\n\r\n'), ['400 Bad Request']);
    assert.deepEqual(await send(LARGE), ['431 Request Header Fields Too Large']);
    assert.deepEqual(await send('GET / HT'), ['408 Request Timeout']);
  });

  // Guards against answers that are cut off because the HTTP server counts their connections as idle.
  it('closes no connection on which something is received or sent as idle', async () => {
    const server = createServer();
    const connections = new DirectCallerConnections(server);
    server.on('request', (req, res) => {
      connections.onRequest(req, res);
      // More than the operating system takes for a caller that doesn't read.
      res.end(req.url === '/large' ? Buffer.alloc(16 * 1_048_576) : 'x');
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    closers.push(() => server.close());
    const sockets: Socket[] = [];
    server.on('connection', (socket) => sockets.push(socket));
    const closed: string[] = [];
    const open = (name: string, text: string): Socket => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      closers.push(() => socket.destroy());
      socket.on('close', () => closed.push(name));
      socket.write(text);
      return socket;
    };
    const received = (): number => sockets.reduce((sum, { bytesRead }) => sum + bytesRead, 0);
    const sent = (): number => sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0);
    const largeRequest = REQUEST.replace('/', '/large');
    const half = 'GET / HT';
    open('unused', '').resume();
    open('answered', REQUEST).resume();
    open('receiving', half).resume();
    const large = open('sending', largeRequest).pause();
    const all = REQUEST.length + half.length + largeRequest.length;
    await waitFor(() => sockets.length === 4 && received() === all && sent() > 0);
    await waitFor(() => connections.unsent === 1);
    connections.closeIdle();
    await waitFor(() => closed.length === 2);
    await delay(RUN_MS);
    assert.deepEqual([...closed].sort(), ['answered', 'unused']);
    large.resume();
    await waitFor(() => connections.unsent === 0);
    open('receiving again', REQUEST + half).resume();
    await waitFor(() => received() === all + REQUEST.length + half.length);
    await waitFor(() => connections.unsent === 0);
    connections.closeIdle();
    await waitFor(() => closed.length === 3);
    await delay(RUN_MS);
    assert.deepEqual([...closed].sort(), ['answered', 'sending', 'unused']);
  });
});
