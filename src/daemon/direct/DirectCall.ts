/** Processing of one request at an entry process: its attempts and its answer. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  isUnsent,
  judgeFailure,
  judgeWithoutRetry,
  MIN_RETRY_TIME_MS,
  type DirectProgress,
  type DirectVerdict,
} from '../../coordination/index.js';
import type { MemberRecord } from '../../protocol/index.js';
import {
  DirectAttempt,
  type AttemptFailure,
  type AttemptHead,
  type WholeAnswer,
} from './DirectAttempt.js';
import { DirectCallBuffer } from './DirectCallBuffer.js';
import { DirectCallRetries } from './DirectCallRetries.js';
import { DirectCallTiming } from './DirectCallTiming.js';
import type { DirectEntryState } from './DirectEntryState.js';
import { withStreamPart, type RunningAttempt } from './DirectRunningAttempt.js';
import type { SendSlot } from './DirectSendSlots.js';
import { deadlineError, outcomeUnknownError, quarantineError } from './DirectReply.js';
import {
  forwardHeadOf,
  slotRequestOf,
  type DirectOutcome,
  type DirectRequest,
} from './DirectRequest.js';

/** Runs one request to completion. */
export class DirectCall {
  readonly #state: DirectEntryState;

  readonly #request: DirectRequest;

  #running: RunningAttempt | null = null;

  #sendCount = 0;

  #unsentCount = 0;

  readonly #tried: string[] = [];

  /** Ids of all endpoints that the request was sent to; unlike `#tried`, not cleared by a wait for a slot. */
  readonly #sentTo = new Set<string>();

  #mayHaveRun = false;

  /** Id of the last event that the caller was sent; null if there is none, or it has no id to resume after. */
  #lastEvent: string | null = null;

  readonly #retries: DirectCallRetries;

  readonly #buffer: DirectCallBuffer;

  readonly #timing: DirectCallTiming;

  #timer: NodeJS.Timeout | null = null;

  /** Aborts waits for a slot or send slot when the request finishes. */
  readonly #waitAbort = new AbortController();

  #resolveOutcome: ((outcome: DirectOutcome) => void) | null = null;

  constructor(state: DirectEntryState, request: DirectRequest) {
    this.#state = state;
    this.#request = request;
    const { service, head, reply, startedAt } = request;
    this.#timing = new DirectCallTiming(startedAt);
    this.#buffer = new DirectCallBuffer({
      id: head.id,
      reply,
      limits: state.readLimits,
      endAttempt: (reason) => this.#running?.attempt.breakOff(reason),
    });
    this.#retries = new DirectCallRetries({
      retries: state.retries,
      now: () => state.now(),
      wish: { service, request: head.id },
      onExpired: () => this.#guard(() => this.#onRetryExpired()),
      onFault: (err) => this.#onFault(err),
    });
  }

  /** Resolves once the caller has its answer or has disconnected. */
  async run(): Promise<DirectOutcome> {
    const { reply, deadline } = this.#request;
    const done = new Promise<DirectOutcome>((resolve) => {
      this.#resolveOutcome = resolve;
    });
    const leftMs = Math.max(1, deadline - this.#state.now());
    this.#timer = setTimeout(() => this.#guard(() => this.#onDeadline()), leftMs);
    const unregisterClose = reply.registerClose(() =>
      this.#guard(() => this.#onCallerDisconnected()),
    );
    const unregisterQuarantineListener = this.#state.registerQuarantineListener(this.#request, () =>
      this.#guard(() => this.#onQuarantined()),
    );
    this.#guard(() => this.#send());
    const outcome = await done;
    unregisterQuarantineListener();
    unregisterClose();
    clearTimeout(this.#timer);
    return outcome;
  }

  get firstMs(): number | null {
    return this.#timing.firstMs;
  }

  get longestPauseMs(): number {
    return this.#timing.longestPauseMs;
  }

  get lastEvent(): string | null {
    return this.#lastEvent;
  }

  get attempts(): number {
    return this.#sendCount + this.#unsentCount;
  }

  get #isFinished(): boolean {
    return this.#resolveOutcome === null;
  }

  #finish(outcome: DirectOutcome): void {
    this.#resolveOutcome?.(outcome);
    this.#resolveOutcome = null;
    this.#waitAbort.abort();
  }

  /**
   * Runs a callback that nobody awaits. An exception in it fails this request only, not the process with all of its
   * streams.
   */
  #guard(step: () => void): void {
    try {
      step();
    } catch (err) {
      this.#onFault(err);
    }
  }

  #onFault(err: unknown): void {
    const attempt = this.#running?.attempt;
    this.#state.requests.fault(this.#request.head.id, err);
    try {
      this.#endAttempt('cancelled');
    } catch (cleanupErr) {
      this.#state.requests.fault(this.#request.head.id, cleanupErr);
    }
    attempt?.abort();
    if (!this.#isFinished) {
      this.#fail();
    }
  }

  /** Waits for a slot again, then resends the request; without a slot or a retry allowance, ends it. */
  async #waitAndSend(): Promise<void> {
    const { service, head } = this.#request;
    const { admission } = this.#state;
    this.#tried.length = 0;
    const decision = await admission.acquire(slotRequestOf(this.#request), this.#waitAbort.signal);
    if (this.#isFinished) {
      if (decision.granted) {
        admission.onUnused(service);
      }
      return;
    }
    const isAllowed = decision.granted && (await this.#retries.acquire('waited'));
    if (this.#isFinished) {
      admission.onUnused(service);
      return;
    }
    this.#state.requests.waited(head.id, service, decision, isAllowed);
    if (isAllowed) {
      this.#send();
      return;
    }
    if (decision.granted) {
      admission.onUnused(service);
    }
    if (this.#mayHaveRun) {
      this.#applyVerdict('fail', null);
    } else {
      this.#refuse(decision.granted ? null : decision.retryAfterMs);
    }
  }

  /** Refuses a request that has not run. Where `retryAfterMs` is null, the process's own estimate is sent. */
  #refuse(retryAfterMs: number | null): void {
    const { reply, service, deadline } = this.#request;
    const error = this.#state.noEndpointError(service);
    const after = retryAfterMs ?? this.#state.retryAfter(service, deadline - this.#state.now());
    reply.refuse(error, after, this.#state.isLeaving);
    this.#finish('refused');
  }

  /**
   * Sends the request to an endpoint. Every send goes through here (the first, a retry, after a wait, to resume a
   * stream), so the quarantine is checked here. `reservedEndpoint` is an endpoint at which the request has reserved
   * a send slot.
   */
  #send(reservedEndpoint: MemberRecord | null = null): void {
    const { service, head, req, body } = this.#request;
    if (this.#state.isQuarantined(this.#request)) {
      this.#state.admission.onUnused(service);
      this.#refuseQuarantined();
      return;
    }
    const endpoint =
      reservedEndpoint ?? this.#state.route(service, head.id, this.#tried, this.attempts + 1);
    if (endpoint === null) {
      this.#state.admission.onUnused(service);
      this.#awaitSendSlot();
      return;
    }
    const { dialect } = this.#state;
    const forward = forwardHeadOf(this.#request, endpoint.id, this.#lastEvent, this.#state);
    const raw = dialect.writeForward(req.rawHeaders, forward);
    this.#sendCount += 1;
    this.#tried.push(endpoint.id);
    this.#state.onSent(service, endpoint.id);
    const { sendSlots } = this.#state;
    let limitTimestamp = sendSlots.limits.timestamp(endpoint);
    const attempt = new DirectAttempt({
      pool: this.#state.pool(endpoint),
      dialect,
      id: head.id,
      call: {
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: raw,
        body: body.length === 0 ? null : body,
        // A late answer to the earlier send to this endpoint would carry the same id.
        usesOwnConnection: this.#sentTo.has(endpoint.id),
        readDelay: this.#state.readLimits.openBody(),
      },
      listener: {
        onStart: () => {
          limitTimestamp = sendSlots.limits.timestamp(endpoint);
          return this.#mayStart(endpoint, reservedEndpoint !== null);
        },
        onHead: (answer) =>
          this.#guard(() => {
            this.#retries.onArrived('answered');
            sendSlots.onAnswer(endpoint, answer, head.id, limitTimestamp);
          }),
        onEvents: (bytes, answer) => this.#guard(() => this.#onEvents(bytes, answer, attempt)),
        onStreamEnd: (answer) => this.#guard(() => this.#onStreamEnd(answer)),
        onPart: (heldBytes) => this.#guard(() => this.#buffer.setReceived(heldBytes)),
        onWhole: (answer) => this.#guard(() => this.#onAnswer(answer)),
        onFailure: (failure) => this.#guard(() => this.#onFailure(failure)),
      },
    });
    this.#running = { endpoint, attempt, streamedAt: null, isSteady: false };
    attempt.start();
  }

  /** Called right before the first byte is sent: whether the attempt may reach the endpoint. */
  #mayStart(endpoint: MemberRecord, hasReserved: boolean): boolean {
    const mayBeSent = !this.#state.isQuarantined(this.#request) && !this.#retries.needsAllowance;
    if (!mayBeSent || !this.#state.sendSlots.start(endpoint, hasReserved)) {
      return false;
    }
    this.#retries.onSent(endpoint.id);
    this.#sentTo.add(endpoint.id);
    return true;
  }

  /**
   * Called when no endpoint accepts the request now. If an endpoint with a limit or backoff has a send slot in time
   * for the caller's patience and deadline, waits for that slot. Otherwise the request ends at once; if it is refused,
   * the refusal names the time until the next send slot, if there is one.
   */
  #awaitSendSlot(): void {
    const { service, route, head, startedAt, deadline } = this.#request;
    const until = Math.min(startedAt + route.patienceMs, deadline - MIN_RETRY_TIME_MS);
    const sendSlot = this.#state.reserveSendSlot(service, this.#tried, until - this.#state.now());
    const nextMs = sendSlot?.waitMs ?? this.#state.nextSendSlotMs(service, this.#tried);
    if (nextMs !== null) {
      this.#state.requests.sendSlotWait(head.id, sendSlot?.endpoint.id ?? null, nextMs);
    }
    if (sendSlot === null) {
      if (nextMs === null || this.#request.reply.streamStarted || this.#mayHaveRun) {
        this.#applyVerdict(this.#request.reply.streamStarted ? 'cut' : this.#finalVerdict, null);
      } else {
        this.#refuse(nextMs);
      }
      return;
    }
    delay(sendSlot.waitMs, undefined, { signal: this.#waitAbort.signal })
      .then(async () => this.#sendReserved(sendSlot))
      // The request has finished, and its send slot stays unused.
      .catch(() => undefined);
  }

  /** Sends the request at its send slot; ends it if it needs an allowance and there is none. */
  async #sendReserved(sendSlot: SendSlot): Promise<void> {
    const isAllowed = await this.#retries.acquire('send slot');
    if (this.#isFinished) {
      return;
    }
    this.#guard(() => {
      if (isAllowed) {
        this.#send(this.#state.sendSlots.isServing(sendSlot) ? sendSlot.endpoint : null);
      } else {
        this.#applyVerdict(this.#request.reply.streamStarted ? 'cut' : this.#finalVerdict, null);
      }
    });
  }

  /** Ends a quarantined request, which must not be sent to any endpoint. */
  #refuseQuarantined(): void {
    this.#state.screening.logQuarantined(this.#request.identity, this.#request.head.id);
    if (this.#request.reply.streamStarted || this.#mayHaveRun) {
      this.#applyVerdict(this.#request.reply.streamStarted ? 'cut' : 'fail', null);
      return;
    }
    const { reply, identity } = this.#request;
    const quarantinedForMs = this.#state.screening.quarantinedForMs(identity);
    reply.refuse(quarantineError(), quarantinedForMs, this.#state.isLeaving);
    this.#finish('quarantined');
  }

  /**
   * The request has been quarantined while in progress. If it waits, it is refused now. If a rank of a group has it
   * and hasn't begun to answer, the attempt is cancelled, which may save the group. At an endpoint without a group it
   * continues: a complete answer proves that the suspicion was wrong.
   */
  #onQuarantined(): void {
    const { admission } = this.#state;
    const isRunning = this.#running !== null;
    if (
      this.#isFinished ||
      this.#request.reply.streamStarted ||
      (isRunning && !admission.hasGroups(this.#request.service))
    ) {
      return;
    }
    this.#mayHaveRun ||= isRunning;
    this.#endAttempt('cancelled');
    this.#refuseQuarantined();
  }

  /** Verdict where no endpoint is left: refused if the request can't have run, failed otherwise. */
  get #finalVerdict(): DirectVerdict {
    return this.#mayHaveRun ? 'fail' : 'refuse';
  }

  /** Ends the running attempt, if there is one. */
  #endAttempt(result: 'whole' | 'refused' | 'failed' | 'cancelled'): void {
    const running = this.#running;
    this.#running = null;
    if (running !== null) {
      this.#buffer.release();
      const { admission } = this.#state;
      if (running.streamedAt !== null) {
        admission.onStreamFinished(running.endpoint.id);
      } else {
        admission.onUnanswered(this.#request.service, running.endpoint.id, result === 'cancelled');
      }
      this.#state.onDone(this.#request.service, running.endpoint.id, result);
      this.#retries.onArrived(result === 'cancelled' ? 'aborted' : 'failed');
      if (result === 'cancelled') {
        running.attempt.abort();
      }
    }
  }

  #onEvents(bytes: Buffer, answer: AttemptHead, attempt: DirectAttempt): void {
    if (this.#isFinished) {
      return;
    }
    this.#timing.onEvent(this.#state.now());
    this.#onStreaming();
    this.#beginReply(answer);
    const last = this.#state.lastEvent(bytes);
    if (last !== null) {
      this.#lastEvent = last.id;
    }
    this.#buffer.passEvents(bytes, attempt);
  }

  /**
   * Records that the endpoint of the running attempt answers with a stream, so that it counts as responsive, and the
   * parts of the prompt as sound once it goes on.
   */
  #onStreaming(): void {
    const running = this.#running;
    if (running === null) {
      return;
    }
    const now = this.#state.now();
    this.#state.admission.onEvent(running.endpoint.id, running.streamedAt === null);
    this.#running = withStreamPart(running, now);
    if (this.#running.isSteady && !running.isSteady) {
      this.#state.screening.onPartsAnswered(this.#request.identity);
    }
  }

  /** Sends the head of a stream to the caller, unless the head of an earlier attempt was sent. */
  #beginReply({ head, raw }: AttemptHead): void {
    const { reply } = this.#request;
    if (!reply.streamStarted) {
      reply.beginStream({ status: head.status, headers: this.#state.answerHeaders(raw) });
      this.#timing.onFirstByte(this.#state.now());
    }
  }

  /** Ends a complete stream. One without events, as when resumed after its last one, gets its head only here. */
  #onStreamEnd(answer: AttemptHead): void {
    this.#onStreaming();
    this.#endAttempt('whole');
    this.#state.screening.onAnswered(this.#request.identity);
    if (this.#isFinished) {
      return;
    }
    this.#beginReply(answer);
    this.#buffer.endStream();
    this.#finish('whole');
  }

  /**
   * Handles a complete answer that isn't a stream. If part of a stream has been sent to the caller, such an
   * answer can't continue it, and the attempt counts as failed.
   */
  #onAnswer(answer: WholeAnswer): void {
    if (!this.#request.reply.streamStarted) {
      this.#onWhole(answer, 'whole');
      return;
    }
    this.#onFailure({
      failure: 'broken',
      reason: `status ${answer.head.status} in place of the rest of a stream`,
      answer: null,
      faultyInstance: null,
      wrongInstance: false,
      connectionLost: false,
    });
  }

  #onWhole(answer: WholeAnswer, outcome: DirectOutcome): void {
    this.#endAttempt('whole');
    if (outcome === 'whole') {
      this.#state.screening.onAnswered(this.#request.identity);
    }
    if (this.#isFinished) {
      return;
    }
    this.#timing.onFirstByte(this.#state.now());
    const { head, raw } = answer;
    this.#buffer.passWhole(
      { status: head.status, headers: this.#state.answerHeaders(raw) },
      answer,
    );
    this.#finish(outcome);
  }

  #progress(): DirectProgress {
    const { route, service, deadline } = this.#request;
    const isStream = route.kind === 'stream';
    return {
      repeatable: route.kind === 'idempotent' || (isStream && route.resumable),
      sendCount: this.#sendCount,
      maxSends: route.maxAttempts,
      mayHaveRun: this.#mayHaveRun,
      responseStarted: this.#request.reply.streamStarted,
      canResume: isStream && route.resumable && this.#lastEvent !== null,
      isServiceDown: this.#state.isServiceDown(service),
      remainingMs: deadline - this.#state.now(),
    };
  }

  #onFailure(failed: AttemptFailure): void {
    const { failure } = failed;
    const endpoint = this.#running?.endpoint;
    this.#endAttempt(failure === 'notRun' || failure === 'heldBack' ? 'refused' : 'failed');
    if (this.#isFinished || endpoint === undefined) {
      return;
    }
    if (isUnsent(failure)) {
      this.#sendCount -= 1;
      this.#unsentCount += 1;
    } else if (failure !== 'notRun') {
      this.#mayHaveRun = true;
    }
    this.#state.onAttemptFailed(endpoint, failed);
    if (!failed.connectionLost) {
      this.#decideNext(endpoint, failed);
      return;
    }
    // Whether the endpoint has crashed must be known before the request is sent to another.
    this.#state
      .onConnectionLost(endpoint, this.#request)
      .catch((err: unknown) => this.#state.requests.fault(this.#request.head.id, err))
      .finally(() => {
        if (!this.#isFinished) {
          this.#guard(() => this.#decideNext(endpoint, failed));
        }
      });
  }

  /** Decides what follows a failed attempt. */
  #decideNext(endpoint: MemberRecord, failed: AttemptFailure): void {
    const verdict = judgeFailure(failed.failure, this.#progress(), this.#unsentCount);
    if (verdict !== 'retry' || !this.#retries.needsAllowance) {
      this.#applyDecision(endpoint, failed, verdict);
      return;
    }
    this.#decideByAllowance(endpoint, failed).catch((err: unknown) => this.#onFault(err));
  }

  /** Decides on a retry that needs an allowance. */
  async #decideByAllowance(endpoint: MemberRecord, failed: AttemptFailure): Promise<void> {
    const { failure } = failed;
    const canRoute = this.#state.canRoute(this.#request.service, this.#tried);
    const isAllowed = canRoute && (await this.#retries.acquire(failure));
    if (!this.#isFinished) {
      const verdict = isAllowed ? 'retry' : judgeWithoutRetry(failure, this.#progress());
      this.#applyDecision(endpoint, failed, verdict);
    }
  }

  /** Aborts the retry on its way, which isn't allowed to arrive any more. */
  #onRetryExpired(): void {
    const running = this.#running;
    if (running === null || this.#isFinished) {
      return;
    }
    this.#endAttempt('cancelled');
    this.#mayHaveRun = true;
    const verdict = judgeWithoutRetry('lost', this.#progress());
    const reason = 'not allowed to arrive any later';
    this.#state.requests.attemptFailed(
      this.#request.head.id,
      running.endpoint.id,
      'lost',
      reason,
      verdict,
    );
    this.#applyVerdict(verdict, null);
  }

  #applyDecision(endpoint: MemberRecord, failed: AttemptFailure, verdict: DirectVerdict): void {
    const { failure, reason, answer } = failed;
    const { head } = this.#request;
    this.#state.requests.attemptFailed(head.id, endpoint.id, failure, reason, verdict);
    this.#applyVerdict(verdict, answer);
  }

  #applyVerdict(verdict: DirectVerdict, answer: WholeAnswer | null): void {
    const handlers: Readonly<Record<DirectVerdict, () => void>> = {
      retry: () => this.#send(),
      wait: () => {
        this.#waitAndSend().catch((err: unknown) => {
          this.#state.requests.fault(this.#request.head.id, err);
          this.#guard(() => this.#applyVerdict(this.#finalVerdict, null));
        });
      },
      pass: () => {
        if (answer !== null) {
          this.#onWhole(answer, 'passed');
        }
      },
      refuse: () => this.#refuse(null),
      fail: () => this.#fail(),
      cut: () => {
        this.#request.reply.cut();
        this.#finish('cut');
      },
    };
    handlers[verdict]();
  }

  /** Ends the request without an endpoint's answer; it is unknown whether it has run. */
  #fail(): void {
    const { reply } = this.#request;
    if (reply.streamStarted) {
      reply.cut();
    } else {
      reply.refuse(outcomeUnknownError(), null, this.#state.isLeaving);
    }
    this.#finish('failed');
  }

  #onDeadline(): void {
    if (this.#isFinished) {
      return;
    }
    const wasSent = this.#running !== null || this.#mayHaveRun;
    this.#endAttempt('cancelled');
    const { reply } = this.#request;
    if (reply.streamStarted) {
      reply.cut();
    } else {
      reply.refuse(deadlineError(wasSent), null, this.#state.isLeaving);
    }
    this.#finish('timeout');
  }

  /** The caller has disconnected: cancels the attempt, so that the endpoint stops working on it. */
  #onCallerDisconnected(): void {
    if (!this.#isFinished) {
      this.#endAttempt('cancelled');
      this.#finish('callerGone');
    }
  }
}
