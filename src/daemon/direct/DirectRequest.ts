/** A request that an entry process has accepted, and its possible outcomes. */
import type { IncomingMessage } from 'node:http';
import type {
  ForwardHead,
  KeyedCustomer,
  RequestHead,
  RequestIdentity,
  Route,
} from '../../protocol/index.js';
import type { SlotRequest } from './DirectAdmission.js';
import type { DirectReply } from './DirectReply.js';

/**
 * A request whose deadline leaves less than this share of its route's timeout counts as a caller's retry of a refused
 * request.
 */
const RETRY_TIME_SHARE = 0.97;

/** A request that has been read and authorized. */
export interface DirectRequest {
  readonly req: IncomingMessage;
  readonly reply: DirectReply;
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  readonly customer: KeyedCustomer | null;
  readonly body: Buffer;
  /** Identity that it shares with the same request sent again. */
  readonly identity: RequestIdentity;
  /** When it arrived, and its deadline; ms on the local monotonic clock. */
  readonly startedAt: number;
  readonly deadline: number;
}

/** Priority of a request; its customer's own goes before its route's. */
function priorityOf({ customer, route }: DirectRequest): number {
  return customer?.priority ?? route.priority;
}

/** What the forwarding of a request needs to know of the process's state. */
interface ForwardState {
  readonly now: () => number;
  readonly models: {
    readonly urgencyOf: (service: string, priority: number) => number | null;
  };
}

/** Metadata for the forwarding of a request to an instance. */
export function forwardHeadOf(
  request: DirectRequest,
  instance: string,
  resumeAfter: string | null,
  state: ForwardState,
): ForwardHead {
  const { route, service, customer, deadline } = request;
  return {
    instance,
    deadlineMs: deadline - state.now(),
    customer: route.anonymous ? null : (customer?.name ?? null),
    urgency: state.models.urgencyOf(service, priorityOf(request)),
    resumeAfter,
  };
}

/** The slot that a request needs, as input to admission. */
export function slotRequestOf(request: DirectRequest): SlotRequest {
  const { head, route, service, customer, startedAt, deadline } = request;
  return {
    request: head.id,
    service,
    priority: priorityOf(request),
    customer: customer?.name ?? '',
    startedAt,
    objectiveMs: route.objectiveMs,
    deadline,
    patienceMs: route.patienceMs,
    tokens: head.tokens?.answer ?? head.expectedTokens,
    likelyTokens: head.expectedTokens,
    eventsReceived: route.resumable ? Number(head.lastEvent ?? 0) || 0 : 0,
    isCallerRetry: head.deadlineMs !== null && head.deadlineMs < route.timeoutMs * RETRY_TIME_SHARE,
  };
}

/** Outcome of a request; logged and counted. */
export type DirectOutcome =
  'whole' | 'passed' | 'refused' | 'quarantined' | 'failed' | 'cut' | 'timeout' | 'callerGone';
