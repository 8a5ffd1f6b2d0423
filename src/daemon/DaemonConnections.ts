/** The bounds on the connections of a process's clients, and what is logged and counted when they are met. */
import { Counter } from 'prom-client';
import type { CloseReason, ConnectionBounds } from '../transport/index.js';
import { LogLimit } from './DaemonLogLimit.js';
import type { Runtime } from './DaemonRuntime.js';

/** Descriptors of a host that aren't available for connections. */
const RESERVED_DESCRIPTORS = 200;

/** Share of the other descriptors that clients' connections may take; the process itself connects to others. */
const CLIENT_SHARE = 0.75;

/**
 * Bounds for the server of a process's clients. `maxDescriptors` is the number of descriptors that the process may
 * open; null where it isn't limited.
 */
export function connectionBoundsOf(
  runtime: Pick<Runtime, 'now' | 'log' | 'registry'>,
  maxDescriptors: number | null,
): ConnectionBounds {
  const logLimit = new LogLimit(runtime.now);
  const closed = new Counter<'reason'>({
    name: 'laburnumgauge_closed_connections_total',
    help: 'Connections of clients closed because of a bound on connections or on unanswered requests',
    labelNames: ['reason'],
    registers: [runtime.registry],
  });
  return {
    maxConnections:
      maxDescriptors === null
        ? null
        : Math.max(1, Math.floor((maxDescriptors - RESERVED_DESCRIPTORS) * CLIENT_SHARE)),
    onClosed: (reason: CloseReason) => {
      closed.inc({ reason });
      if (logLimit.take()) {
        runtime.log.info({ event: 'connection_closed', reason }, 'client connection closed');
      }
    },
  };
}
