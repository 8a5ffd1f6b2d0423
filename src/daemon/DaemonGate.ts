/** The gate in front of an engine, with its HTTP API for entry processes. */
import type { Context } from 'koa';
import type Koa from 'koa';
import type { Dispatcher } from 'undici';
import {
  engineAnswered,
  engineCrashed,
  FIRST_INCARNATION,
  initGate,
  stepGate,
  type EngineIncarnation,
  type GateInput,
  type GateOutput,
  type GateState,
} from '../coordination/index.js';
import {
  GATE_HEADERS,
  RequestError,
  type LoadReport,
  type MemberRecord,
  type RevokeReply,
} from '../protocol/index.js';
import { FRAMES_CONTENT_TYPE, FrameWriter, headerOf, type Probe } from '../transport/index.js';
import { relayEvents, relayBody } from './DaemonGateRelay.js';
import { sendError } from './DaemonApp.js';
import type { DaemonBodies } from './DaemonBodies.js';
import type { Runtime } from './DaemonRuntime.js';

/** Dependencies of {@link DaemonGate}. */
export interface GateOptions {
  readonly runtime: Runtime;
  readonly agent: Dispatcher;
  readonly bodies: DaemonBodies;
  /** URL of the engine. */
  readonly engine: string;
  readonly slots: number;
  /** Probes whether the engine still listens. */
  readonly probe: () => Probe;
  readonly record: () => MemberRecord;
  readonly onDrained: () => void;
}

interface HopHeaders {
  readonly key: string;
  readonly request: string;
  readonly attempt: number;
  readonly target: number;
  readonly customer: string;
  readonly path: string;
  readonly method: string;
  readonly deadlineMs: number;
}

function readHopHeaders(ctx: Context): HopHeaders {
  const get = (name: string): string => headerOf(ctx.req, name) ?? '';
  const request = get(GATE_HEADERS.request);
  const attempt = Number(get(GATE_HEADERS.attempt));
  const target = Number(get(GATE_HEADERS.target));
  if (request === '' || !Number.isInteger(attempt) || !Number.isInteger(target)) {
    throw new RequestError('bad_request', 'headers of an attempt are missing');
  }
  return {
    // The request id contains the entry process's incarnation, so keys stay unique when it restarts.
    key: `${request}#${attempt}`,
    request,
    attempt,
    target,
    customer: get(GATE_HEADERS.customer),
    path: get(GATE_HEADERS.path),
    method: get(GATE_HEADERS.method),
    deadlineMs: Number(get(GATE_HEADERS.deadline)),
  };
}

/** Runs attempts at the engine, and tracks whether the engine crashes during them. */
export class DaemonGate {
  readonly #options: GateOptions;

  #state: GateState;

  #engineIncarnation: EngineIncarnation = FIRST_INCARNATION;

  constructor(options: GateOptions) {
    this.#options = options;
    this.#state = initGate(options.record().incarnation);
  }

  get state(): GateState {
    return this.#state;
  }

  /** Load as this gate sees it: attempts beyond the number of slots wait inside the engine. */
  get load(): LoadReport {
    const { size } = this.#state.running;
    const { slots } = this.#options;
    return { running: Math.min(size, slots), queued: Math.max(0, size - slots), slots };
  }

  step(input: GateInput): GateOutput | undefined {
    const { state, outputs } = stepGate(this.#state, input, this.#options.runtime.now());
    this.#state = state;
    outputs.filter(({ type }) => type === 'drained').forEach(() => this.#options.onDrained());
    return outputs[0];
  }

  /** Adopts a new incarnation that a hub asked for; no attempt has run under the old one. */
  setIncarnation(incarnation: number): void {
    this.#state = { ...this.#state, incarnation };
  }

  /** Adds the gate's API to an application. */
  addApi(app: Koa): void {
    const routes: Readonly<Record<string, (ctx: Context) => Promise<void> | void>> = {
      'POST /v1/attempts': async (ctx) => this.#onAttempt(ctx),
      'POST /v1/attempts/revoke': (ctx) => this.#onRevoke(ctx),
    };
    app.use(async (ctx, next) => {
      const route = routes[`${ctx.method} ${ctx.path}`];
      if (route === undefined) {
        await next();
        return;
      }
      try {
        await route(ctx);
      } catch (err) {
        sendError(ctx, err);
      }
    });
  }

  #onRevoke(ctx: Context): void {
    const { key, target } = readHopHeaders(ctx);
    const output = this.step({ type: 'revoke', key, target });
    const state = output?.type === 'revoked' ? output.state : 'started';
    const reply: RevokeReply = { state, incarnation: this.#state.incarnation };
    ctx.body = reply;
  }

  async #onAttempt(ctx: Context): Promise<void> {
    const hop = readHopHeaders(ctx);
    const body = await this.#options.bodies.read(ctx.req, ctx.res);
    const { key, target, customer } = hop;
    const output = this.step({ type: 'attempt', key, target, customer });
    if (output?.type === 'refuse') {
      throw new RequestError(output.code, 'the gate did not start the attempt');
    }
    ctx.respond = false;
    const { res } = ctx;
    res.writeHead(200, { 'content-type': FRAMES_CONTENT_TYPE });
    res.flushHeaders();
    const writer = new FrameWriter(res);
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), Math.max(1, hop.deadlineMs));
    res.once('close', () => abort.abort());
    try {
      await this.#run(hop, body, ctx, writer, abort.signal);
    } finally {
      clearTimeout(timer);
      this.step({ type: 'ended', key });
      res.end();
    }
  }

  async #run(
    hop: HopHeaders,
    body: Buffer,
    ctx: Context,
    writer: FrameWriter,
    signal: AbortSignal,
  ): Promise<void> {
    const { runtime, agent, engine } = this.#options;
    const identity = {
      request: hop.request,
      attempt: hop.attempt,
      incarnation: this.#state.incarnation,
    };
    const startedAt = runtime.now();
    let seq = 0;
    let reason = 'done';
    let isAccepted = true;
    try {
      const response = await agent.request({
        origin: engine,
        path: hop.path,
        method: hop.method,
        headers: {
          'content-type': headerOf(ctx.req, 'content-type') ?? 'application/json',
          'x-customer': hop.customer,
          'x-request-id': hop.request,
        },
        body: body.length === 0 ? null : body,
        signal,
      });
      this.#engineIncarnation = engineAnswered(this.#engineIncarnation, startedAt);
      const contentType = String(response.headers['content-type'] ?? '');
      const streamed = contentType.startsWith('text/event-stream');
      const head = { kind: 'head', ...identity, seq: 0, status: response.statusCode } as const;
      writer.write({ ...head, contentType, streamed });
      const send = (bytes: Buffer, events: number): void => {
        writer.write({ kind: 'data', ...identity, seq: seq + 1, events, bytes });
        seq += events;
      };
      const relay = streamed ? relayEvents : relayBody;
      reason = await relay(response.body, ctx.res, send);
    } catch (err) {
      reason = (err as Error).message;
      isAccepted = (err as NodeJS.ErrnoException).code !== 'ECONNREFUSED';
    }
    const whole = reason === 'done';
    const isLost = !whole && isAccepted && !signal.aborted;
    const endedLife = isLost ? await this.#detectEngineCrash(startedAt) : null;
    writer.write({ kind: 'end', ...identity, seq, whole, reason, endedLife, load: this.load });
    runtime.log.info(
      { event: 'attempt', ...identity, whole, reason, endedLife, events: seq },
      'attempt ended',
    );
  }

  /** Ordinal of the engine incarnation that crashed during an accepted attempt; null if no crash is known. */
  async #detectEngineCrash(startedAt: number): Promise<number | null> {
    if ((await this.#options.probe().result) !== 'refused') {
      return null;
    }
    this.#engineIncarnation = engineCrashed(
      this.#engineIncarnation,
      startedAt,
      this.#options.runtime.now(),
    );
    return this.#engineIncarnation.ordinal;
  }
}
