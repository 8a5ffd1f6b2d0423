/** The path of a request through an entry process and a gate to an engine, each with a server of its own. */
import type { AddressInfo, Socket } from 'node:net';
import Koa from 'koa';
import { Registry } from 'prom-client';
import { Agent } from 'undici';
import { LoopbackServer } from '../../../__tests__/utils/LoopbackServer.js';
import type { MemberRecord } from '../../../protocol/index.js';
import { openAgent, serveHttp } from '../../../transport/index.js';
import { DaemonBodies } from '../../DaemonBodies.js';
import { DaemonGate, type GateOptions } from '../../DaemonGate.js';
import { addCallerApi, type CallerApiOptions } from '../../DaemonEntryApi.js';
import type { Runtime } from '../../DaemonRuntime.js';

const ignore = (): void => undefined;

const LOG = { info: ignore, warn: ignore, error: ignore, debug: ignore };

const RUNTIME = { log: LOG, now: () => performance.now(), incarnation: 1 } as unknown as Runtime;

/** The bodies of a process; metrics of several processes can't share a registry. */
function bodies(): DaemonBodies {
  return new DaemonBodies({ ...RUNTIME, registry: new Registry() }, null);
}

const ANY_PORT = { host: '127.0.0.1', port: 0 };

const DEADLINE_MS = 2_000;

/** Script of an engine: writes its answer to the socket of a connection. */
export type GateScript = (socket: Socket) => void;

/** Servers of one test. */
export class GatePath {
  readonly #closers: (() => void)[] = [];

  close(): void {
    this.#closers.splice(0).forEach((close) => close());
  }

  /** Returns the port of an engine. */
  async startEngine(script: GateScript): Promise<number> {
    const server = new LoopbackServer((socket) => socket.once('data', () => script(socket)));
    this.#closers.push(() => server.stop());
    return server.start();
  }

  /** Returns the record of a gate; `port` is that of its engine. */
  async startGate(port: number): Promise<MemberRecord> {
    const agent = openAgent(1_000);
    this.#closers.push(() => {
      agent.destroy().catch(ignore);
    });
    const app = new Koa();
    const record = { id: 'e1', incarnation: 1 } as MemberRecord;
    const options: GateOptions = {
      runtime: RUNTIME,
      bodies: bodies(),
      agent,
      engine: `http://127.0.0.1:${port}`,
      slots: 1,
      probe: () => ({ result: Promise.resolve('open'), settled: Promise.resolve() }),
      record: () => record,
      onDrained: ignore,
    };
    const gate = new DaemonGate(options);
    gate.step({ type: 'ready' });
    gate.addApi(app);
    return { ...record, address: `127.0.0.1:${await this.#serve(app)}` };
  }

  /** Returns the port of an entry process for callers, whose requests have this deadline. */
  async startEntry(endpoint: MemberRecord, deadlineMs = DEADLINE_MS): Promise<number> {
    const service = { fleet: 'f', service: { name: 's', deadlineMs, repeatable: false } };
    const agent = new Agent();
    this.#closers.push(() => {
      agent.destroy().catch(ignore);
    });
    const state = {
      isReady: true,
      customer: () => ({ name: 'kano' }),
      config: { byModel: new Map(), byPath: [['/', service]] },
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
    const options = { id: 'n1', runtime: RUNTIME, bodies: bodies(), state, agent, hubLink };
    const app = new Koa();
    addCallerApi(app, options as unknown as CallerApiOptions);
    return this.#serve(app);
  }

  async #serve(app: Koa): Promise<number> {
    const stop = new AbortController();
    const server = await serveHttp(app, ANY_PORT, stop.signal);
    this.#closers.push(() => {
      stop.abort();
      server.closeAllConnections();
    });
    return (server.address() as AddressInfo).port;
  }
}
