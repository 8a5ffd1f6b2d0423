import assert from 'node:assert/strict';
import {
  createServer,
  type IncomingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';
import { createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { RequestError, type AnswerHead, type MemberRecord } from '../../../../protocol/index.js';
import { openPool } from '../../../../transport/index.js';
import { DirectCall } from '../../DirectCall.js';
import type { DirectEntryState } from '../../DirectEntryState.js';
import { DirectReply } from '../../DirectReply.js';
import type { DirectRequest } from '../../DirectRequest.js';

const HEAD: AnswerHead = {
  status: 200,
  id: 'r1',
  sealed: true,
  notRun: false,
  wrongInstance: false,
  faultyInstance: null,
  isStream: true,
  limit: 'none',
  restMs: 'none',
  isLeaving: false,
};

const ENDPOINT = { id: 'e1' } as MemberRecord;

const ignore = (): void => undefined;

const ADMISSION = {
  hasGroups: () => false,
  onUnused: ignore,
  onUnanswered: ignore,
  onEvent: ignore,
  onStreamFinished: ignore,
};

const NO_RETRIES = {
  acquire: async () => Promise.resolve(null),
  extend: async () => Promise.resolve(null),
  mayStillSend: () => true,
  onSent: ignore,
  onArrived: ignore,
};

const ALL_RETRIES = {
  ...NO_RETRIES,
  acquire: async () =>
    Promise.resolve({
      allowedAt: { monotonic: performance.now(), wall: Date.now() },
      isEarned: true,
    }),
  extend: async () => ALL_RETRIES.acquire(),
};

/** Stub of the process's state, with one endpoint; `replaced` overrides parts of it. */
function stateOf(origin: string, faults: unknown[], replaced: object): DirectEntryState {
  const pool = openPool(origin, 2);
  const state = {
    now: () => performance.now(),
    isLeaving: false,
    admission: ADMISSION,
    models: { urgencyOf: () => null },
    screening: { onAnswered: ignore },
    dialect: { writeForward: () => [], readAnswer: () => HEAD },
    registerQuarantineListener: () => ignore,
    isQuarantined: () => false,
    route: () => ENDPOINT,
    canRoute: () => false,
    isServiceDown: () => false,
    noEndpointError: () => new RequestError('no_endpoint', 'no endpoint'),
    retries: NO_RETRIES,
    pool: () => pool,
    sendSlots: {
      limits: { timestamp: () => ({ clock: 0, at: 0 }) },
      start: () => true,
      onAnswer: ignore,
    },
    reserveSendSlot: () => null,
    nextSendSlotMs: () => null,
    onSent: ignore,
    onDone: ignore,
    onAttemptFailed: ignore,
    onConnectionLost: async () => Promise.resolve(),
    answerHeaders: () => [],
    lastEvent: () => ({ id: '1' }),
    readLimits: { openBody: () => () => 0, hold: ignore },
    requests: {
      attemptFailed: ignore,
      sendSlotWait: ignore,
      waited: ignore,
      fault: (_request: string, err: unknown) => faults.push(err),
    },
    ...replaced,
  };
  return state as unknown as DirectEntryState;
}

function directRequestOf(res: ServerResponse, deadlineMs: number): DirectRequest {
  const directRequest = {
    req: { method: 'POST', url: '/x', rawHeaders: [] },
    reply: new DirectReply(res),
    head: { id: 'r1' },
    route: { kind: 'stream', resumable: true, maxAttempts: 2 },
    service: 's',
    customer: null,
    body: Buffer.alloc(0),
    startedAt: performance.now(),
    deadline: performance.now() + deadlineMs,
  };
  return directRequest as unknown as DirectRequest;
}

describe('DirectCall', () => {
  const servers: { close: () => void }[] = [];
  const sockets: Socket[] = [];

  afterEach(() => {
    servers.splice(0).forEach((server) => server.close());
    sockets.splice(0).forEach((socket) => socket.destroy());
  });

  const listen = async (server: Server | ReturnType<typeof createTcpServer>): Promise<string> => {
    servers.push(server);
    server.on('connection', (socket: Socket) => sockets.push(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  };

  /** Serves one call of a caller; returns its outcome, what the caller received, and the errors logged. */
  const serve = async (
    endpoint: string,
    replaced: object,
    deadlineMs = 5_000,
  ): Promise<{
    outcome: string;
    status: number;
    headers: IncomingHttpHeaders;
    body: string;
    faults: unknown[];
  }> => {
    const faults: unknown[] = [];
    let outcome = '';
    const entry = createServer((_req, res) => {
      const call = new DirectCall(
        stateOf(endpoint, faults, replaced),
        directRequestOf(res, deadlineMs),
      );
      call
        .run()
        .then((ended) => {
          outcome = ended;
        })
        .catch((err: unknown) => faults.push(err));
    });
    const answer = await request(await listen(entry), { method: 'POST' });
    const body = await answer.body.text().catch(() => 'broken off');
    const { statusCode: status, headers } = answer;
    return { outcome, status, headers, body, faults };
  };

  const fault = (): never => {
    throw new Error('a decision that throws');
  };

  // An exception in a callback that nobody awaits must not end the process with all of its streams.
  const steps: Readonly<Record<string, readonly [object, number?]>> = {
    'the verdict on an attempt whose connection was lost': [{ canRoute: fault }],
    'the choice of an endpoint': [{ route: fault }],
    'the handling of a failed attempt': [{ onAttemptFailed: fault }],
    'the release of a slot': [{ onDone: fault }],
  };
  Object.entries(steps).forEach(([name, [replaced]]) => {
    it(`ends only its own request on an exception in ${name}`, async () => {
      const dying = createTcpServer((socket) => socket.once('data', () => socket.destroy()));
      const { outcome, status, faults } = await serve(await listen(dying), replaced);
      assert.deepEqual({ outcome, status }, { outcome: 'failed', status: 502 });
      assert.equal((faults[0] as Error).message, 'a decision that throws');
    });
  });

  it('ends only its own request on an exception when its deadline passes', async () => {
    const silent = createTcpServer(ignore);
    const { outcome, status } = await serve(await listen(silent), { onDone: fault }, 50);
    assert.deepEqual({ outcome, status }, { outcome: 'failed', status: 502 });
  });

  it('ends only its own request on an exception while it passes on a stream', async () => {
    const engine = createServer((_req, res) => res.write('id: 1\n\n'));
    const { outcome, status } = await serve(await listen(engine), { answerHeaders: fault });
    assert.deepEqual({ outcome, status }, { outcome: 'failed', status: 502 });
  });

  const HEAD_LINES = ['HTTP/1.1 200 OK', 'content-type: text/event-stream', 'x-seal: s1'];

  const EMPTY_STREAMS: Readonly<Record<string, readonly string[]>> = {
    'in chunks': ['transfer-encoding: chunked', '', '0', '', ''],
    'with a length': ['content-length: 0', '', ''],
    'that ends with its connection': ['connection: close', '', ''],
  };

  // A stream without an event must not be answered with the HTTP library's default head.
  Object.entries(EMPTY_STREAMS).forEach(([name, lines]) => {
    it(`passes on the head of a stream without an event, ${name}`, async () => {
      const engine = createTcpServer((socket) =>
        socket.once('data', () => socket.end([...HEAD_LINES, ...lines].join('\r\n'))),
      );
      const passed = { answerHeaders: (raw: string[]) => raw.slice(0, 4) };
      const { outcome, status, headers, body } = await serve(await listen(engine), passed);
      const seal = headers['x-seal'];
      assert.deepEqual(
        { outcome, status, seal, body },
        { outcome: 'whole', status: 200, seal: 's1', body: '' },
      );
    });
  });

  // A request is refused by an endpoint, sent there again, and runs. A late second refusal of the first send has
  // the same id, and must not be taken for the answer.
  it('ignores a late answer to an earlier send of the same request', async () => {
    const refusal = 'HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n';
    const whole = 'HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok';
    let first: Socket | null = null;
    let runs = 0;
    const engine = createTcpServer((socket) =>
      socket.on('data', () => {
        if (first === null) {
          first = socket;
          socket.write(refusal);
          return;
        }
        runs += 1;
        first.write(refusal);
        setTimeout(() => socket.write(whole), 20);
      }),
    );
    let isClosed = true;
    const replaced = {
      isServiceDown: () => isClosed,
      admission: {
        ...ADMISSION,
        acquire: async () => {
          // By then the connection of the first send is free again.
          await delay(20);
          isClosed = false;
          return { granted: true };
        },
      },
      dialect: {
        writeForward: () => [],
        readAnswer: (status: number) => ({
          ...HEAD,
          status,
          notRun: status === 503,
          isStream: false,
        }),
      },
      retries: ALL_RETRIES,
      retryAfter: () => 1_000,
    };
    const { outcome, status, body, faults } = await serve(await listen(engine), replaced);
    assert.deepEqual(
      { outcome, status, body, faults, runs },
      { outcome: 'whole', status: 200, body: 'ok', faults: [], runs: 1 },
    );
  });

  // Guards against requests that the client library refuses to write and that count as in progress for good.
  it('ends an attempt that the client library refuses to send', async () => {
    const results: string[] = [];
    const replaced = {
      onSent: () => results.push('sent'),
      onDone: (_service: string, _endpoint: string, result: string) => results.push(result),
      dialect: { writeForward: () => ['x-name', 'a\nb'], readAnswer: () => HEAD },
      canRoute: () => false,
      retryAfter: () => 1_000,
      retries: ALL_RETRIES,
    };
    const { outcome, status, faults } = await serve('http://127.0.0.1:1', replaced);
    assert.deepEqual({ outcome, status, faults }, { outcome: 'refused', status: 503, faults: [] });
    const isDone = results.every((result, i) => result === (i % 2 === 0 ? 'sent' : 'failed'));
    assert.ok(isDone && results.length % 2 === 0, results.join());
  });

  // An answer that can't continue a stream must not be counted as its completion.
  it('cuts a stream whose continuation is not a stream, and counts it as failed', async () => {
    let sends = 0;
    const engine = createServer((_req, res) => {
      sends += 1;
      if (sends > 1) {
        res.end('no stream');
        return;
      }
      res.write('id: 1\n\n');
      setTimeout(() => res.destroy(), 20);
    });
    const results: string[] = [];
    const replaced = {
      canRoute: () => sends < 2,
      retries: ALL_RETRIES,
      onDone: (_service: string, _endpoint: string, result: string) => results.push(result),
      screening: { onAnswered: () => results.push('sound') },
      dialect: {
        writeForward: () => [],
        readAnswer: () => ({ ...HEAD, isStream: sends === 1 }),
      },
    };
    const { outcome, body, faults } = await serve(await listen(engine), replaced);
    assert.deepEqual(
      { outcome, body, faults, results },
      { outcome: 'cut', body: 'broken off', faults: [], results: ['failed', 'failed'] },
    );
  });

  // A head that is written together with an event must keep its bytes beyond ASCII.
  it('passes on a seal byte for byte', async () => {
    const head = [HEAD_LINES[0], HEAD_LINES[1], 'x-seal: s\xff', 'content-length: 7', '', ''];
    const engine = createTcpServer((socket) =>
      socket.once('data', () => socket.end(`${head.join('\r\n')}id: 1\n\n`, 'latin1')),
    );
    const passed = { answerHeaders: (raw: string[]) => raw.slice(0, 4) };
    const { status, headers, body } = await serve(await listen(engine), passed);
    assert.deepEqual(
      { status, seal: Buffer.from(String(headers['x-seal']), 'latin1').toString('hex'), body },
      { status: 200, seal: '73ff', body: 'id: 1\n\n' },
    );
  });

  // A started stream that is continued by an answer other than a stream must not end in an internal error.
  it('cuts a stream that is continued by an answer other than a stream', async () => {
    let calls = 0;
    const chunked = ['transfer-encoding: chunked', '', '7', 'id: 1\n\n', ''];
    const stream = [...HEAD_LINES, ...chunked].join('\r\n');
    const plain = ['HTTP/1.1 200 OK', 'x-seal: s2', 'content-length: 2', '', 'no'].join('\r\n');
    const engine = createTcpServer((socket) => {
      socket.on('error', ignore);
      socket.once('data', () => {
        calls += 1;
        socket.end(calls === 1 ? stream : plain);
      });
    });
    const { outcome, body, faults } = await serve(await listen(engine), {
      dialect: {
        writeForward: () => [],
        readAnswer: (_status: number, headers: IncomingHttpHeaders) => ({
          ...HEAD,
          isStream: headers['content-type'] !== undefined,
        }),
      },
      canRoute: () => true,
      retries: ALL_RETRIES,
    });
    assert.deepEqual(
      { outcome, body, faults, calls },
      { outcome: 'cut', body: 'broken off', faults: [], calls: 2 },
    );
  });

  /** Serves one call; the endpoint refuses `refusals` sends as not run. Counts the sends and the retries asked for. */
  const serveRefused = async (
    refusals: number,
    replaced: object,
  ): Promise<{ outcome: string; sends: number; asked: number }> => {
    let sends = 0;
    let asked = 0;
    const engine = createServer((_req, res) => {
      sends += 1;
      res.writeHead(sends <= refusals ? 503 : 200).end('ok');
    });
    const { outcome } = await serve(await listen(engine), {
      canRoute: () => true,
      retryAfter: () => 1_000,
      dialect: {
        writeForward: () => [],
        readAnswer: (status: number) => ({
          ...HEAD,
          status,
          notRun: status === 503,
          isStream: false,
        }),
      },
      retries: {
        ...ALL_RETRIES,
        acquire: async () => {
          asked += 1;
          return ALL_RETRIES.acquire();
        },
      },
      ...replaced,
    });
    return { outcome, sends, asked };
  };

  it('asks for one retry for each send beyond the first', async () => {
    assert.deepEqual(await serveRefused(0, {}), { outcome: 'whole', sends: 1, asked: 0 });
    assert.deepEqual(await serveRefused(1, {}), { outcome: 'whole', sends: 2, asked: 1 });
  });

  // Guards against retries that are spent for attempts that never reached an endpoint.
  it('asks for no retry where nothing was sent', async () => {
    const closed = openPool('http://127.0.0.1:1', 2);
    const open = createServer((_req, res) => res.end('ok'));
    const pools = [closed, openPool(await listen(open), 2)];
    const { outcome, asked } = await serveRefused(0, { pool: () => pools.shift() });
    assert.deepEqual({ outcome, asked }, { outcome: 'whole', asked: 0 });
  });

  /** Serves one call that is refused once as not run; the retry is answered after `answerMs`. */
  const serveSlowRetry = async (
    answerMs: number,
    replaced: object,
  ): Promise<{ outcome: string; wasReset: boolean }> => {
    let sends = 0;
    let wasReset = false;
    const engine = createServer((req, res) => {
      sends += 1;
      req.socket.on('error', () => {
        wasReset = true;
      });
      if (sends === 1) {
        res.writeHead(503).end();
      } else {
        setTimeout(() => res.end('ok'), answerMs).unref();
      }
    });
    const readAnswer = (status: number): AnswerHead => ({
      ...HEAD,
      status,
      notRun: status === 503,
      isStream: false,
    });
    const { outcome } = await serve(await listen(engine), {
      canRoute: () => true,
      dialect: { writeForward: () => [], readAnswer },
      ...replaced,
    });
    // Lets the endpoint see the reset.
    await delay(50);
    return { outcome, wasReset };
  };

  // Guards against retries that are held up by a partition and arrive together when it heals.
  it('aborts a retry that has not arrived when its allowance expires', async () => {
    const retries = { ...ALL_RETRIES, extend: async () => Promise.resolve(null) };
    const served = await serveSlowRetry(3_000, { retries });
    assert.deepEqual(served, { outcome: 'failed', wasReset: true });
  });

  it('lets a retry arrive later where that is allowed', async () => {
    const served = await serveSlowRetry(1_700, { retries: ALL_RETRIES });
    assert.deepEqual(served, { outcome: 'whole', wasReset: false });
  });

  // Guards against retries that arrive, bunched with others, after the window in which they were counted.
  it('sends no retry whose allowance has expired', async () => {
    const retries = { ...ALL_RETRIES, mayStillSend: () => false };
    const { outcome, sends } = await serveRefused(1, { retries });
    assert.deepEqual({ outcome, sends }, { outcome: 'refused', sends: 1 });
  });
});
