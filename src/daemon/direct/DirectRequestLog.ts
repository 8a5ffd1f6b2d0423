/** What an entry process writes down and counts of its requests. */
import type { DirectFailure, DirectVerdict, RoutingDecision } from '../../coordination/index.js';
import { EntryMetrics } from '../DaemonEntryMetrics.js';
import type { Runtime } from '../DaemonRuntime.js';
import type { SlotDecision } from './DirectAdmission.js';
import type { DirectReply } from './DirectReply.js';
import type { DirectOutcome, DirectRequest } from './DirectRequest.js';

/** What is noted of a request's way. */
export interface CallStats {
  /** Time to the first byte of the answer, ms; null where there was none. */
  readonly firstMs: number | null;
  /** Longest pause between two events of a stream, ms. */
  readonly longestPauseMs: number;
  /** Id of the last event that was passed on; null where there was none. */
  readonly lastEvent: string | null;
  readonly attempts: number;
}

/** Which attempt of a request a choice is for. */
interface ChoiceContext {
  readonly service: string;
  readonly request: string;
  readonly attempt: number;
}

/** Requests of one entry process. */
export class DirectRequestLog {
  readonly #runtime: Runtime;

  readonly metrics: EntryMetrics;

  #inProgress = 0;

  constructor(runtime: Runtime) {
    this.#runtime = runtime;
    this.metrics = new EntryMetrics(runtime.registry, () => this.#inProgress);
  }

  get inProgress(): number {
    return this.#inProgress;
  }

  begin(): void {
    this.#inProgress += 1;
  }

  end(request: DirectRequest, outcome: DirectOutcome, stats: CallStats): void {
    const { firstMs, longestPauseMs, lastEvent, attempts } = stats;
    this.#inProgress -= 1;
    this.metrics.onEnded(outcome);
    if (firstMs !== null) {
      this.metrics.onFirstByte(firstMs);
    }
    const { head, route, service, customer, startedAt, reply } = request;
    const { status, head: headOf, bytes } = reply.summary;
    this.countReply(reply);
    const ms = Math.round(this.#runtime.now() - startedAt);
    this.#runtime.log.info(
      {
        event: 'answer',
        request: head.id,
        route: route.name,
        service,
        customer: customer?.name ?? null,
        outcome,
        status,
        headOf,
        bytes,
        resumedAfter: head.lastEvent,
        attempts,
        firstMs: firstMs === null ? null : Math.round(firstMs),
        objectiveMs: route.objectiveMs,
        pauseMs: Math.round(longestPauseMs),
        pauseAimMs: route.pauseMs,
        lastEvent,
        mostTokens: head.tokens?.answer ?? null,
        hintTokens: head.expectedTokens,
        ms,
      },
      'answered',
    );
  }

  /** Counts an answer by whose head it bore. */
  countReply({ summary }: DirectReply): void {
    this.metrics.onReply(summary.head ?? 'none');
  }

  /** A rank was chosen for its place, or none. */
  chosenRank({ service, request, attempt }: ChoiceContext, endpoint: string | null): void {
    this.#runtime.log.info(
      { event: 'route', request, attempt, service, endpoint, reason: 'least_work' },
      'routing decision',
    );
  }

  /** An endpoint was chosen among those without a group, or none. */
  chosen({ service, request, attempt }: ChoiceContext, decision: RoutingDecision): void {
    const { endpoint, reason, of, candidates } = decision;
    this.#runtime.log.info(
      {
        event: 'route',
        request,
        attempt,
        service,
        endpoint: endpoint?.id ?? null,
        reason,
        of,
        candidates: candidates.map(({ id, score }) => `${id}=${score.toFixed(2)}`),
      },
      'routing decision',
    );
  }

  attemptFailed(
    request: string,
    endpoint: string,
    failure: DirectFailure,
    reason: string,
    verdict: DirectVerdict,
  ): void {
    this.#runtime.log.info(
      { event: 'attempt', request, endpoint, failure, reason, verdict },
      'attempt failed',
    );
  }

  /** A fault of this process met a request. */
  fault(request: string, err: unknown): void {
    this.#runtime.log.error({ event: 'fault', request, err }, 'request failed here');
  }

  /** A request that an endpoint didn't run has waited for a place again. */
  waited(request: string, service: string, verdict: SlotDecision, retry: boolean): void {
    const { granted } = verdict;
    this.#runtime.log.info({ event: 'waited', request, service, granted, retry }, 'waited');
  }

  /** A request has taken a turn at an endpoint that takes nothing now, or none that comes in time (null). */
  sendSlotWait(request: string, endpoint: string | null, waitMs: number): void {
    const { log } = this.#runtime;
    log.info({ event: 'turn', request, endpoint, waitMs: Math.round(waitMs) }, 'no endpoint free');
  }
}
