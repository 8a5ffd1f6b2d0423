/** Log lines and metrics of the requests of an entry process. */
import type { DirectFailure, DirectVerdict, RoutingDecision } from '../../coordination/index.js';
import { EntryMetrics } from '../DaemonEntryMetrics.js';
import type { Runtime } from '../DaemonRuntime.js';
import type { SlotDecision } from './DirectAdmission.js';
import type { DirectReply } from './DirectReply.js';
import type { DirectOutcome, DirectRequest } from './DirectRequest.js';

/** Statistics of a request. */
export interface CallStats {
  /** Time to the first byte of the answer, ms; null where there was none. */
  readonly firstMs: number | null;
  /** Longest pause between two events of a stream, ms. */
  readonly longestPauseMs: number;
  /** Id of the last event that was passed on; null if there was none. */
  readonly lastEvent: string | null;
  readonly attempts: number;
}

/** The attempt that an endpoint is chosen for. */
interface ChoiceContext {
  readonly service: string;
  readonly request: string;
  readonly attempt: number;
}

/** Logs and counts the requests of one entry process. */
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

  /** Counts an answer by the origin of its head. */
  countReply({ summary }: DirectReply): void {
    this.metrics.onReply(summary.head ?? 'none');
  }

  /** Logs the choice of a rank by free slots; `endpoint` is null if there was none. */
  chosenRank({ service, request, attempt }: ChoiceContext, endpoint: string | null): void {
    this.#runtime.log.info(
      { event: 'route', request, attempt, service, endpoint, reason: 'least_work' },
      'routing decision',
    );
  }

  /** Logs the choice of an endpoint that isn't in a group. */
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

  /** Logs an unexpected error of this process while it handled a request. */
  fault(request: string, err: unknown): void {
    this.#runtime.log.error(
      { event: 'fault', request, err },
      'internal error while handling a request',
    );
  }

  /** Logs the end of a further wait for a slot, after a failed attempt. */
  waited(request: string, service: string, decision: SlotDecision, retry: boolean): void {
    const { granted } = decision;
    this.#runtime.log.info({ event: 'waited', request, service, granted, retry }, 'waited');
  }

  /**
   * Logs that no endpoint accepts a request now; `endpoint` is where it has reserved a send slot, null if there is
   * none in time.
   */
  sendSlotWait(request: string, endpoint: string | null, waitMs: number): void {
    const { log } = this.#runtime;
    log.info({ event: 'turn', request, endpoint, waitMs: Math.round(waitMs) }, 'no endpoint free');
  }
}
