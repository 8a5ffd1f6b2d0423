/** Runs the attempts of one request: routes them, sends them to gates, and delivers a single answer. */
import type { ServerResponse } from 'node:http';
import type { Context } from 'koa';
import type { Dispatcher } from 'undici';
import {
  startAttempts,
  stepAttempts,
  type AttemptInput,
  type AttemptOutput,
  type AttemptState,
  type AttemptStep,
} from '../coordination/index.js';
import {
  GATE_HEADERS,
  isErrorCode,
  type RequestError,
  type AnswerFrame,
  type Customer,
  type ErrorBody,
  type MemberRecord,
  type RequestIdentity,
  type RevokeReply,
} from '../protocol/index.js';
import {
  ByteCollector,
  FRAMES_CONTENT_TYPE,
  MAX_ANSWER_BYTES,
  readFrames,
} from '../transport/index.js';
import type { CallerApiOptions } from './DaemonEntryApi.js';
import { sendError } from './DaemonApp.js';

/** How long a gate may take to acknowledge a revocation before the outcome is unknown, ms. */
const REVOKE_TIMEOUT_MS = 1_000;

/** Statuses of answers that have no body (RFC 9112, section 6.3). */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** A request as read from its caller. */
export interface CallSpec {
  readonly customer: Customer;
  readonly service: string;
  readonly prefix: number | null;
  readonly streamed: boolean;
  readonly repeatable: boolean;
  /** ms on the local monotonic clock. */
  readonly deadline: number;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
}

type OutputHandlers = {
  readonly [T in AttemptOutput['type']]: (output: Extract<AttemptOutput, { type: T }>) => void;
};

/** One request in progress. */
export class DaemonEntryCall {
  readonly #options: CallerApiOptions;

  readonly #request: string;

  readonly #spec: CallSpec;

  readonly #ctx: Context;

  readonly #res: ServerResponse;

  readonly #startedAt: number;

  readonly #aborts = new Map<number, AbortController>();

  /** Frame that a `deliver` output refers to. */
  #frame: AnswerFrame | null = null;

  /** Body of an answer that is not streamed, as far as received. */
  readonly #body = new ByteCollector();

  #status = 200;

  #contentType = '';

  readonly #identity: RequestIdentity;

  #state: AttemptState;

  #outcome = 'whole';

  /** Resolves the promise of `run`. */
  #resolveRun: (() => void) | null = null;

  readonly #outputHandlers: OutputHandlers = {
    route: ({ exclude }) => this.#route(exclude),
    send: ({ endpoint, attempt }) => {
      if (this.#options.state.isQuarantined(this.#identity, endpoint)) {
        this.#options.state.screening.logQuarantined(this.#identity, this.#request);
        this.#step({ type: 'held', attempt });
        return;
      }
      this.#send(endpoint, attempt).catch((err: unknown) => {
        this.#options.runtime.log.error({ err, request: this.#request }, 'attempt failed');
        this.#step({ type: 'lost', attempt });
      });
    },
    revoke: ({ endpoint, attempt }) => {
      this.#revoke(endpoint, attempt).catch(() => this.#step({ type: 'revokeFailed', attempt }));
    },
    deliver: () => this.#deliver(),
    reset: () => this.#body.clear(),
    cancel: ({ attempt }) => this.#aborts.get(attempt)?.abort(),
    finish: () => this.#finishAnswer(),
    fail: ({ error }) => this.#finishWithError(error),
  };

  constructor(options: CallerApiOptions, request: string, spec: CallSpec, ctx: Context) {
    this.#options = options;
    this.#request = request;
    this.#spec = spec;
    this.#ctx = ctx;
    this.#res = ctx.res;
    this.#startedAt = options.runtime.now();
    const { customer, method, path, body } = spec;
    this.#identity = { customer: customer.name, method, host: '', path, body };
    this.#state = startAttempts(request, spec.repeatable, spec.deadline).state;
  }

  /** Runs the request until its final answer has been written or its caller has disconnected. */
  async run(): Promise<void> {
    const { state, runtime } = this.#options;
    const { customer, deadline } = this.#spec;
    state.begin(this.#request, customer.name);
    const timer = setTimeout(() => this.#step({ type: 'deadline' }), deadline - runtime.now());
    const onClose = () => this.#step({ type: 'callerGone' });
    this.#res.once('close', onClose);
    try {
      await new Promise<void>((resolve) => {
        this.#resolveRun = resolve;
        this.#applyStep(startAttempts(this.#request, this.#spec.repeatable, deadline));
      });
    } finally {
      clearTimeout(timer);
      this.#res.removeListener('close', onClose);
      this.#aborts.forEach((abort) => abort.abort());
      state.end(this.#request, customer.name, this.#outcome);
    }
  }

  #step(input: AttemptInput): void {
    const { state, runtime } = this.#options;
    const wasOpen = this.#state.phase !== 'finished';
    this.#applyStep(
      stepAttempts(this.#state, input, {
        now: runtime.now(),
        takeRetry: () => state.takeRetry(this.#spec.service),
      }),
    );
    if (input.type === 'callerGone' && wasOpen) {
      this.#outcome = 'caller_gone';
      this.#resolveRun?.();
    }
  }

  #applyStep({ state, outputs }: AttemptStep): void {
    this.#state = state;
    outputs.forEach((output) => this.#outputHandlers[output.type](output as never));
  }

  #route(exclude: readonly string[]): void {
    const { service, prefix } = this.#spec;
    const { endpoint } = this.#options.state.route(
      { service, prefix, exclude },
      this.#request,
      this.#state.attempt,
    );
    this.#step({ type: 'routed', endpoint });
  }

  #hopHeaders(endpoint: MemberRecord, attempt: number): Record<string, string> {
    const { runtime, hubLink } = this.#options;
    const { customer, path, method, deadline, contentType } = this.#spec;
    return {
      'content-type': contentType,
      [GATE_HEADERS.request]: this.#request,
      [GATE_HEADERS.attempt]: String(attempt),
      [GATE_HEADERS.sender]: String(hubLink.record.incarnation),
      [GATE_HEADERS.target]: String(endpoint.incarnation),
      [GATE_HEADERS.path]: path,
      [GATE_HEADERS.method]: method,
      [GATE_HEADERS.deadline]: String(Math.max(0, Math.round(deadline - runtime.now()))),
      [GATE_HEADERS.customer]: customer.name,
    };
  }

  async #send(endpoint: MemberRecord, attempt: number): Promise<void> {
    const { state, agent } = this.#options;
    const abort = new AbortController();
    this.#aborts.set(attempt, abort);
    state.updateRouting({ type: 'sent', id: endpoint.id });
    let result: 'whole' | 'refused' | 'failed' | 'cancelled' = 'failed';
    try {
      const response = await agent.request({
        origin: `http://${endpoint.address}`,
        path: '/v1/attempts',
        method: 'POST',
        headers: this.#hopHeaders(endpoint, attempt),
        body: this.#spec.body,
        signal: abort.signal,
      });
      const framed = response.headers['content-type'] === FRAMES_CONTENT_TYPE;
      result = framed
        ? await this.#readAnswer(response, endpoint, attempt)
        : await this.#readRefusal(response, attempt);
    } catch (err) {
      const { code } = err as { code?: string };
      const unsent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
      if (!unsent && !abort.signal.aborted) {
        await this.#onConnectionLost(endpoint);
      }
      this.#step(unsent ? { type: 'unsent', attempt } : { type: 'lost', attempt });
    } finally {
      this.#aborts.delete(attempt);
      state.updateRouting({
        type: 'done',
        id: endpoint.id,
        result: abort.signal.aborted ? 'cancelled' : result,
      });
    }
  }

  async #readRefusal(
    response: Dispatcher.ResponseData,
    attempt: number,
  ): Promise<'refused' | 'failed'> {
    const { error } = (await response.body.json()) as ErrorBody;
    if (error.outcome === 'not_run' && isErrorCode(error.code)) {
      this.#step({ type: 'refused', attempt, code: error.code });
      return 'refused';
    }
    this.#step({ type: 'lost', attempt });
    return 'failed';
  }

  async #readAnswer(
    response: Dispatcher.ResponseData,
    endpoint: MemberRecord,
    attempt: number,
  ): Promise<'whole' | 'failed'> {
    const frames = readFrames(response.body);
    try {
      // eslint-disable-next-line no-restricted-syntax -- the only way to read a stream chunk by chunk
      for await (const frame of frames) {
        this.#frame = frame;
        if (frame.kind === 'end') {
          this.#onEngineCrash(endpoint, frame.endedLife);
        }
        this.#step({ type: frame.kind, frame } as AttemptInput);
        if (frame.kind === 'end') {
          this.#options.state.updateRouting({
            type: 'report',
            id: endpoint.id,
            load: frame.load,
          });
          return frame.whole ? 'whole' : 'failed';
        }
        if (this.#body.length > MAX_ANSWER_BYTES) {
          this.#options.runtime.log.warn(
            { event: 'overlong', request: this.#request, maxBytes: MAX_ANSWER_BYTES },
            'the answer is too long to be held',
          );
          response.body.destroy();
          break;
        }
        if (this.#res.writableNeedDrain) {
          await new Promise((resolve) => {
            this.#res.once('drain', resolve);
            this.#res.once('close', resolve);
          });
        }
      }
    } catch {
      // The body ended early; the `cut` input below decides what that means.
      if (this.#aborts.get(attempt)?.signal.aborted !== true) {
        await this.#onConnectionLost(endpoint);
      }
    }
    this.#step({ type: 'cut', attempt });
    return 'failed';
  }

  #onEngineCrash(endpoint: MemberRecord, engineOrdinal: number | null): void {
    if (engineOrdinal !== null) {
      this.#options.state.screening.onEngineCrash(
        endpoint,
        engineOrdinal,
        this.#identity,
        this.#request,
      );
    }
  }

  /**
   * Handles a lost connection to a gate. Resolves once it is known, as far as possible, whether the gate and its
   * engine crashed, so that a new attempt takes that into account.
   */
  async #onConnectionLost(endpoint: MemberRecord): Promise<void> {
    await this.#options.state.screening.onConnectionLost(endpoint, this.#identity, this.#request);
  }

  async #revoke(endpoint: MemberRecord, attempt: number): Promise<void> {
    const response = await this.#options.agent.request({
      origin: `http://${endpoint.address}`,
      path: '/v1/attempts/revoke',
      method: 'POST',
      headers: this.#hopHeaders(endpoint, attempt),
      signal: AbortSignal.timeout(REVOKE_TIMEOUT_MS),
    });
    const { state } = (await response.body.json()) as RevokeReply;
    this.#step({ type: 'revokeReply', attempt, state });
  }

  /** Delivers the current frame: streams are written at once, other answers are buffered until they are complete. */
  #deliver(): void {
    const frame = this.#frame;
    if (frame?.kind === 'head') {
      this.#status = frame.status;
      this.#contentType = frame.contentType;
      this.#options.state.observeFirstByte(this.#options.runtime.now() - this.#startedAt);
      if (frame.streamed) {
        this.#ctx.respond = false;
        this.#res.writeHead(frame.status, {
          'content-type': frame.contentType,
          'cache-control': 'no-cache',
        });
      }
    } else if (frame?.kind === 'data') {
      if (this.#res.headersSent) {
        this.#res.write(frame.bytes);
      } else {
        this.#body.add(frame.bytes);
      }
    }
  }

  #finishAnswer(): void {
    if (!this.#res.headersSent) {
      this.#writeBufferedAnswer(this.#body.take());
    }
    this.#res.end();
    this.#options.state.screening.onAnswered(this.#identity);
    this.#log('whole');
    this.#resolveRun?.();
  }

  /** Bypasses Koa, which adds headers that an engine left out and rewrites content types. */
  #writeBufferedAnswer(body: Buffer): void {
    const isBodyless = this.#ctx.method === 'HEAD' || BODYLESS_STATUSES.has(this.#status);
    this.#ctx.respond = false;
    this.#res.writeHead(this.#status, {
      ...(this.#contentType === '' ? {} : { 'content-type': this.#contentType }),
      ...(isBodyless ? {} : { 'content-length': body.length }),
    });
    this.#res.write(body);
  }

  /** Sends an error. A stream that has begun ends with an error event and without its final event. */
  #finishWithError(error: RequestError): void {
    this.#outcome = error.outcome;
    if (this.#res.headersSent) {
      this.#res.end(`event: error\ndata: ${JSON.stringify(error.toBody(this.#request))}\n\n`);
    } else {
      sendError(this.#ctx, error, this.#request);
    }
    this.#log(error.outcome, error.code);
    this.#resolveRun?.();
  }

  #log(outcome: string, code?: string): void {
    const { runtime } = this.#options;
    runtime.log.info(
      {
        event: 'answer',
        request: this.#request,
        customer: this.#spec.customer.name,
        attempts: this.#state.attempt,
        outcome,
        code,
        ms: Math.round(runtime.now() - this.#startedAt),
      },
      'answered',
    );
  }
}
