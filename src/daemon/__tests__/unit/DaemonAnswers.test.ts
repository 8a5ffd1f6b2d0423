import assert from 'node:assert/strict';
import type { Server } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import Koa from 'koa';
import { Agent, request } from 'undici';
import type { MemberRecord } from '../../../protocol/index.js';
import { openAgent, serveHttp } from '../../../transport/index.js';
import { DaemonGate, type GateOptions } from '../../DaemonGate.js';
import { addCallerApi, type CallerApiOptions } from '../../DaemonEntryApi.js';
import type { Runtime } from '../../DaemonRuntime.js';

const ignore = (): void => undefined;

const LOG = { info: ignore, warn: ignore, error: ignore, debug: ignore };

const RUNTIME = { log: LOG, now: () => performance.now(), incarnation: 1 } as unknown as Runtime;

const ANY_PORT = { host: '127.0.0.1', port: 0 };

const SERVICE = {
  fleet: 'f',
  service: { name: 's', deadlineMs: 2_000, repeatable: false },
};

/** What a caller receives: status, content type, body, and whether the body is complete. */
type Answer = readonly [number, string | undefined, string, boolean];

/** Script of an engine: writes its answer to the socket of a connection. */
type Script = (socket: Socket) => void;

function answer(status: number, lines: readonly string[], body = ''): Script {
  return (socket) => socket.write([`HTTP/1.1 ${status} X`, ...lines, '', body].join('\r\n'));
}

const TEXT = 'content-type: text/x-own';

const STREAM = 'content-type: text/event-stream';

const DONE = 'data: [DONE]\n\n';

const CASES: Readonly<Record<string, readonly [Script, Answer]>> = {
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
  const closers: (() => void)[] = [];

  afterEach(() => closers.splice(0).forEach((close) => close()));

  const portOf = (server: Server | ReturnType<typeof createServer>): number =>
    (server.address() as AddressInfo).port;

  const serve = async (app: Koa): Promise<number> => {
    const stop = new AbortController();
    const server = await serveHttp(app, ANY_PORT, stop.signal);
    closers.push(() => {
      stop.abort();
      server.closeAllConnections();
    });
    return portOf(server);
  };

  const startEngine = async (script: Script): Promise<number> => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', ignore);
      socket.once('data', () => script(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    closers.push(() => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    });
    return portOf(server);
  };

  const startGate = async (enginePort: number): Promise<MemberRecord> => {
    const agent = openAgent(1_000);
    closers.push(() => {
      agent.destroy().catch(ignore);
    });
    const app = new Koa();
    const record = { id: 'e1', incarnation: 1 } as MemberRecord;
    const options: GateOptions = {
      runtime: RUNTIME,
      agent,
      engine: `http://127.0.0.1:${enginePort}`,
      slots: 1,
      probe: () => ({ result: Promise.resolve('open'), settled: Promise.resolve() }),
      record: () => record,
      onDrained: ignore,
    };
    const gate = new DaemonGate(options);
    gate.step({ type: 'ready' });
    gate.addApi(app);
    return { ...record, address: `127.0.0.1:${await serve(app)}` };
  };

  const startEntry = async (endpoint: MemberRecord): Promise<number> => {
    const agent = new Agent();
    closers.push(() => {
      agent.destroy().catch(ignore);
    });
    const state = {
      isReady: true,
      customer: () => ({ name: 'kano' }),
      config: { byModel: new Map(), byPath: [['/', SERVICE]] },
      screening: {
        onAnswered: ignore,
        onConnectionLost: async () => Promise.resolve(),
        onEngineCrash: ignore,
      },
      admit: ignore,
      begin: ignore,
      end: ignore,
      takeRetry: () => false,
      route: () => ({ endpoint }),
      isQuarantined: () => false,
      updateRouting: ignore,
      observeFirstByte: ignore,
    };
    const hubLink = { record: { incarnation: 1 } };
    const options = { id: 'n1', runtime: RUNTIME, state, agent, hubLink };
    const app = new Koa();
    addCallerApi(app, options as unknown as CallerApiOptions);
    return serve(app);
  };

  const call = async (script: Script): Promise<Answer> => {
    const port = await startEntry(await startGate(await startEngine(script)));
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

  const BROKEN: Readonly<Record<string, Script>> = {
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
      const write = (): void => {
        while (socket.writable && socket.write(piece)) {
          // Until the socket is full.
        }
      };
      socket.on('drain', write);
      write();
    });
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
