/** A request that an entry process has taken in, and how it can end. */
import type { IncomingMessage } from 'node:http';
import type { KeyedCustomer, RequestHead, RequestIdentity, Route } from '../../protocol/index.js';
import type { SlotRequest } from './DirectAdmission.js';
import type { DirectReply } from './DirectReply.js';

/** A request with less of its route's time than this was refused before and has come back. */
const RETRY_TIME_SHARE = 0.97;

/** A request that was taken in. */
export interface DirectRequest {
  readonly req: IncomingMessage;
  readonly reply: DirectReply;
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  readonly customer: KeyedCustomer | null;
  readonly body: Buffer;
  /** What it has in common with the same request sent again. */
  readonly identity: RequestIdentity;
  /** When it was read, and when its caller is given up on; ms on the local monotonic clock. */
  readonly startedAt: number;
  readonly deadline: number;
}

/** What a request asks of admission. */
export function slotRequestOf(request: DirectRequest): SlotRequest {
  const { head, route, service, customer, startedAt, deadline } = request;
  return {
    request: head.id,
    service,
    priority: customer?.priority ?? route.priority,
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

/** How a request ended; written to the log and counted. */
export type DirectOutcome =
  'whole' | 'passed' | 'refused' | 'quarantined' | 'failed' | 'cut' | 'timeout' | 'callerGone';
