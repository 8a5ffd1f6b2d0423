import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { writeEndlessly } from '../../../__tests__/utils/LoopbackServer.js';
import { createHttpServer } from '../../index.js';

/** More than both sides of a connection on loopback buffer. */
const BODY = Buffer.alloc(12 * 1_048_576, 'x');

const REFUSAL = 'refused';

function head(...headers: readonly string[]): string {
  return ['POST / HTTP/1.1', 'host: x', ...headers, '', ''].join('\r\n');
}

describe('LingeringResponse', () => {
  const closers: (() => void)[] = [];

  /** Connects to a server that refuses each request at its head. */
  const open = async (): Promise<Socket> => {
    const server = createHttpServer({}, (_req, res) => {
      res.writeHead(413, { 'content-length': REFUSAL.length });
      res.end(REFUSAL);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    closers.push(
      () => socket.destroy(),
      () => server.close(),
    );
    return socket;
  };

  /** All that is received until the connection ends; rejects if it is reset. */
  const readAll = async (socket: Socket): Promise<string> => {
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString();
    });
    await once(socket, 'end');
    return text;
  };

  afterEach(() => closers.splice(0).forEach((close) => close()));

  // Guards against a refusal that its client never gets, as its unread body resets the connection.
  it('is received by a client that sends all of its body before it reads', async () => {
    const socket = await open();
    socket.write(head(`content-length: ${BODY.length}`, 'connection: close'));
    await new Promise<void>((resolve) => {
      socket.write(BODY, () => resolve());
    });
    assert.match(await readAll(socket), /^HTTP\/1.1 413 [^]*refused$/);
  });

  it('is sent before the body has arrived', async () => {
    const socket = await open();
    socket.write(head('content-length: 4000000000'));
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    assert.match(bytes.toString(), /^HTTP\/1.1 413 /);
  });

  it('leaves the connection open for another request once the body has arrived', async () => {
    const socket = await open();
    socket.write(head('content-length: 4'));
    await once(socket, 'data');
    socket.write(`body${head('content-length: 0', 'connection: close')}`);
    assert.match(await readAll(socket), /^HTTP\/1.1 413 [^]*refused$/);
  });

  // Guards against connections that are read for as long as their clients send.
  it('closes the connection of a body without end', async () => {
    const socket = await open();
    socket.on('error', () => undefined);
    socket.write(head('transfer-encoding: chunked'));
    writeEndlessly(socket, Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`));
    socket.resume();
    await new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
  });
});
