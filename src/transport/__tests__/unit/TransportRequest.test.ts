import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createHttpServer } from '../../index.js';

const HEAD = 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n';

/** More chunks than the HTTP server reads from a socket at once. */
const CHUNKS = 60_000;

/** What the HTTP server reads from a socket at once, in bytes. */
const MAX_READ_BYTES = 65_536;

/** Time for everything that the server takes from the socket, ms. */
const ARRIVAL_MS = 200;

describe('CoalescedRequest', () => {
  let server: Server;
  let client: Socket;
  let req: IncomingMessage;

  beforeEach(async () => {
    server = createHttpServer({}, () => undefined);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const received = once(server, 'request');
    client = connect((server.address() as AddressInfo).port, '127.0.0.1');
    client.write(HEAD);
    [req] = (await received) as [IncomingMessage];
  });

  afterEach(() => {
    client.destroy();
    server.close();
  });

  // Guards against an object for each chunk of a body that isn't read, which fill the heap.
  it('keeps a few buffers of a paused body, whatever the size of its chunks', async () => {
    client.write('1\r\nx\r\n'.repeat(CHUNKS));
    await delay(ARRIVAL_MS);
    let buffers = 0;
    let bytes = 0;
    const waiting = req.readableLength;
    assert.ok(waiting > 1_000 && waiting < CHUNKS, `${waiting} bytes`);
    req.on('data', (chunk: Buffer) => {
      if (bytes < waiting) {
        buffers += 1;
      }
      bytes += chunk.length;
    });
    client.write('0\r\n\r\n');
    await once(req, 'end');
    assert.ok(buffers <= 4, `${buffers} buffers`);
    assert.equal(bytes, CHUNKS);
  });

  // Guards against a body that is read ahead while it is paused; parsing small chunks takes time even then.
  it('takes no more than one read from the socket of a paused body', async () => {
    req.on('data', () => req.pause());
    client.write('1\r\nx\r\n'.repeat(CHUNKS));
    await delay(ARRIVAL_MS);
    const { chunkCount } = req as unknown as { readonly chunkCount: number };
    assert.ok(
      chunkCount > 0 && chunkCount <= Math.ceil(MAX_READ_BYTES / 6),
      `${chunkCount} chunks`,
    );
    client.write('0\r\n\r\n');
    req.removeAllListeners('data');
    req.resume();
    await once(req, 'end');
  });

  it('passes on a body byte for byte', async () => {
    const text = Array.from({ length: 20_000 }, (_item, i) => String(i)).join(' ');
    const parts = text.match(/[^]{1,7}/g) ?? [];
    client.write(parts.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`).join(''));
    client.write('0\r\n\r\n');
    let received = '';
    req.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    await once(req, 'end');
    assert.equal(received, text);
  });
});
