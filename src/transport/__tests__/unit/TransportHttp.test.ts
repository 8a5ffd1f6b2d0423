import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { RequestError } from '../../../protocol/index.js';
import { readBody, type BodyOptions } from '../../index.js';

/** Sends bytes to a server that reads the body; returns the body, or the code of the error. */
async function bodyOf(bytes: string, options: BodyOptions = {}, isClosed = false): Promise<string> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const result = new Promise<string>((resolve) => {
    server.once('request', (req, res) => {
      readBody(req, options)
        .then((body) => body.toString())
        .catch((err: { code: string }) => err.code)
        .then((ended) => {
          resolve(ended);
          res.destroy();
        })
        .catch(() => undefined);
    });
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(bytes, () => {
    if (isClosed) {
      socket.destroy();
    }
  });
  const ended = await result;
  socket.destroy();
  server.close();
  return ended;
}

const HEAD = 'POST / HTTP/1.1\r\nhost: x\r\n';

function chunked(size: number, count: number): string {
  const chunk = `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
  return `${HEAD}transfer-encoding: chunked\r\n\r\n${chunk.repeat(count)}0\r\n\r\n`;
}

describe('readBody', () => {
  [1, 16, 1_000].forEach((size) => {
    it(`reads a complete body in chunks of ${size} bytes`, async () => {
      assert.equal(await bodyOf(chunked(size, 3_000)), 'x'.repeat(size * 3_000));
    });
  });

  it('reads a body with a length, and none', async () => {
    assert.equal(await bodyOf(`${HEAD}content-length: 4\r\n\r\nbody`), 'body');
    assert.equal(await bodyOf(`${HEAD}content-length: 0\r\n\r\n`), '');
    assert.equal(await bodyOf(`${HEAD}\r\n`), '');
  });

  it('refuses a body that is too large', async () => {
    const limit = { maxBytes: 4 };
    assert.equal(await bodyOf(`${HEAD}content-length: 5\r\n\r\nxxxxx`, limit), 'too_large');
    assert.equal(await bodyOf(chunked(1, 5), limit), 'too_large');
    assert.equal(await bodyOf(chunked(1, 4), limit), 'xxxx');
  });

  // Guards against a connection that waits for a body that is refused in any case.
  it('refuses a body that is announced as too large before it arrives', async () => {
    assert.equal(await bodyOf(`${HEAD}content-length: 5\r\n\r\n`, { maxBytes: 4 }), 'too_large');
  });

  it('ends with the reason of its signal', async () => {
    const abort = new AbortController();
    const ended = bodyOf(`${HEAD}content-length: 5\r\n\r\nx`, {
      signal: abort.signal,
      onHeld: () => abort.abort(new RequestError('overloaded', 'no room')),
    });
    assert.equal(await ended, 'overloaded');
  });

  it('refuses a body whose caller has left', async () => {
    assert.equal(await bodyOf(`${HEAD}content-length: 4\r\n\r\nbo`, {}, true), 'bad_request');
  });

  // Guards against a caller's chunks that are read at any rate.
  it('counts the chunks towards the rate', async () => {
    let chunks = 0;
    const delay = (read: number): number => {
      chunks += read;
      return 1;
    };
    await bodyOf(chunked(1, 5_000), { delay });
    assert.equal(chunks, 5_000);
  });
});
