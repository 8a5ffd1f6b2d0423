/** The bounds on the connections of a process's servers, and what is logged and counted when they are met. */
import { Counter } from 'prom-client';
import type { CloseReason, ConnectionBounds } from '../transport/index.js';
import { LogLimit } from './DaemonLogLimit.js';
import type { Runtime } from './DaemonRuntime.js';

/** Descriptors of a host that aren't available for connections. */
const RESERVED_DESCRIPTORS = 200;

/** Share of the other descriptors that clients' connections may take; the process itself connects to others. */
const CLIENT_SHARE = 0.75;

/** Maximum number of connections to a server that only the platform's own checks use. */
const MAX_CHECK_CONNECTIONS = 64;

/** Bounds of the servers of one process. */
export interface ServerBounds {
  /** For clients. */
  readonly clients: ConnectionBounds;
  /** For readiness and metrics. */
  readonly checks: ConnectionBounds;
}

/**
 * Bounds for the servers of a process. `maxDescriptors` is the number of descriptors that the process may open; null
 * where it isn't limited.
 */
export function serverBoundsOf(
  runtime: Pick<Runtime, 'now' | 'log' | 'registry'>,
  maxDescriptors: number | null,
): ServerBounds {
  const logLimit = new LogLimit(runtime.now);
  const closed = new Counter<'reason'>({
    name: 'laburnumgauge_closed_connections_total',
    help: 'Connections of clients closed because of a bound on connections or on unanswered requests',
    labelNames: ['reason'],
    registers: [runtime.registry],
  });
  const onClosed = (reason: CloseReason): void => {
    closed.inc({ reason });
    if (logLimit.take()) {
      runtime.log.info({ event: 'connection_closed', reason }, 'client connection closed');
    }
  };
  const maxConnections =
    maxDescriptors === null
      ? null
      : Math.max(1, Math.floor((maxDescriptors - RESERVED_DESCRIPTORS) * CLIENT_SHARE));
  return {
    clients: { maxConnections, onClosed },
    checks: { maxConnections: MAX_CHECK_CONNECTIONS, onClosed },
  };
}
