import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { Registry } from 'prom-client';
import type { RequestError } from '../../../protocol/index.js';
import { createHttpServer } from '../../../transport/index.js';
import { DaemonBodies, type BodyLimits } from '../../DaemonBodies.js';
import type { Runtime } from '../../DaemonRuntime.js';

const MAX_BODY_BYTES = 8 * 1_048_576;

/** What all bodies may take at least. */
const MAX_HELD_BYTES = 16_777_216;

const TIMEOUT_MS = 100;

function post(length: number, sent: number): string {
  return `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${'x'.repeat(sent)}`;
}

describe('DaemonBodies', () => {
  let server: Server;
  let limits: BodyLimits = {};
  let lines = 0;
  const registry = new Registry();
  const sockets: Socket[] = [];

  const metric = async (name: string): Promise<string> => {
    const text = await registry.metrics();
    return text.split('\n').find((line) => line.startsWith(name)) ?? '';
  };

  /** Sends a request; the returned function resolves to what is answered. */
  const send = (bytes: string): (() => Promise<string>) => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    sockets.push(socket);
    socket.write(bytes);
    const answered = once(socket, 'data') as Promise<[Buffer]>;
    return async () => (await answered)[0].toString().split('\r\n\r\n')[1] ?? '';
  };

  beforeEach(async () => {
    registry.clear();
    lines = 0;
    const runtime = {
      now: () => performance.now(),
      log: {
        info: () => {
          lines += 1;
        },
      },
      registry,
    } as unknown as Runtime;
    const bodies = new DaemonBodies(runtime, 1_000_000);
    server = createHttpServer({}, (req, res) => {
      bodies
        .read(req, res, limits)
        .then((body) => String(body.length))
        .catch((err: RequestError) => err.code)
        .then((text) => {
          // A PUT stays unanswered.
          if (req.method !== 'PUT') {
            res.writeHead(200, { 'content-length': text.length }).end(text);
          }
        })
        .catch(() => undefined);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    server.close();
  });

  // Guards against bodies that never end and are kept as long as their connections.
  it('refuses a body that is not complete in time', async () => {
    limits = { timeoutMs: TIMEOUT_MS };
    assert.equal(await send(post(4, 3))(), 'body_timeout');
    assert.match(await metric('laburnumgauge_held_body_bytes'), / 0$/);
    limits = {};
  });

  // Guards against a crowd that keeps others out, and against memory that isn't given back.
  it('refuses the bodies of a crowd, and accepts those of others', async () => {
    const crowd = [1, 2, 3].map(() => send(post(MAX_BODY_BYTES, MAX_BODY_BYTES - 1)));
    const codes = await Promise.race(crowd.map(async (answer) => answer()));
    assert.equal(codes, 'overloaded');
    assert.equal(await send(post(4, 4))(), '4');
    const held = Number((await metric('laburnumgauge_held_body_bytes')).split(' ').at(-1));
    assert.ok(held > 0 && held <= MAX_HELD_BYTES, `${held} bytes`);
    sockets.forEach((socket) => socket.destroy());
    server.closeAllConnections();
    // The runner's own time limit ends a test in which the memory isn't given back.
    // eslint-disable-next-line no-await-in-loop
    while (!(await metric('laburnumgauge_held_body_bytes')).endsWith(' 0')) {
      // eslint-disable-next-line no-await-in-loop
      await delay(10);
    }
  });

  // Guards against memory that isn't given back for requests whose responses wait behind others.
  it('forgets the body of a request whose connection closes before its turn to be answered', async () => {
    limits = { timeoutMs: 60_000 };
    send(`${post(2, 2).replace('POST', 'PUT')}${post(3, 3)}`);
    const held = async (): Promise<string> => metric('laburnumgauge_held_body_bytes');
    await delay(TIMEOUT_MS);
    assert.match(await held(), / 5$/);
    server.closeAllConnections();
    await delay(TIMEOUT_MS);
    assert.match(await held(), / 0$/);
    limits = {};
  });

  it('takes a time limit that no timer can wait for as none', async () => {
    limits = { timeoutMs: 1e12 };
    const answer = send(post(2, 1));
    await delay(TIMEOUT_MS);
    sockets.at(-1)?.write('x');
    assert.equal(await answer(), '2');
    limits = {};
  });

  it('counts each refusal, and logs a limited number', async () => {
    limits = { maxBytes: 1 };
    const answers = await Promise.all(Array.from({ length: 30 }, async () => send(post(2, 2))()));
    assert.deepEqual([...new Set(answers)], ['too_large']);
    assert.match(await metric('laburnumgauge_refused_bodies_total{'), / 30$/);
    assert.equal(lines, 20);
    limits = {};
  });
});
