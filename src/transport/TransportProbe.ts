/** Checks with one or a few connections whether a process listens at an address. */
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Address } from './TransportAddress.js';

/** Result of a probe. */
export type ProbeResult =
  /** The host refused the connection, since nothing listens there: the process has ended. */
  | 'refused'
  /** The connection was accepted and kept open. */
  | 'open'
  /** There was no answer in time, or each connection was accepted and closed again. */
  | 'unknown';

/** Limit on connecting, ms: about ten round trips between availability zones. */
const CONNECT_TIMEOUT_MS = 60;

/** A connection that is still open after this time is unlikely to give a result soon, ms. */
const ACCEPTED_MS = 20;

/**
 * A connection that stays open this long counts as kept, ms. A proxy in front of a process that has ended accepts
 * connections as well, and closes them once it finds no process.
 */
const KEPT_OPEN_MS = 300;

/** Maximum number of connections, and the pause between them, ms: a process that is ending has ended by then. */
const MAX_TRIES = 3;
const RETRY_PAUSE_MS = 40;

/** A probe in progress. */
export interface Probe {
  /** Never rejects. */
  readonly result: Promise<ProbeResult>;
  /** Resolves once there is a result, or earlier if that takes long, for callers that need not wait for it. */
  readonly settled: Promise<void>;
}

/** Tries one connection; `onAccepted` is called if it is still open after {@link ACCEPTED_MS}. */
async function tryOnce({ host, port }: Address, onAccepted: () => void): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const timers: NodeJS.Timeout[] = [];
    const end = (found: ProbeResult): void => {
      timers.forEach((timer) => clearTimeout(timer));
      socket.destroy();
      resolve(found);
    };
    timers.push(setTimeout(() => end('unknown'), CONNECT_TIMEOUT_MS));
    socket.once('connect', () => {
      timers.forEach((timer) => clearTimeout(timer));
      timers.push(setTimeout(onAccepted, ACCEPTED_MS));
      timers.push(setTimeout(() => end('open'), KEPT_OPEN_MS));
    });
    socket.once('close', () => end('unknown'));
    socket.once('error', (err: NodeJS.ErrnoException) =>
      end(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
    // An end is only noticed on a socket that is read.
    socket.resume();
  });
}

/**
 * Probes an address, repeatedly if the result is unknown.
 *
 * A process that ends closes its connections before its listening socket. In between, a new connection is accepted and
 * reset, which gives no result, and the crash would be attributed to no request. Therefore the probe is repeated until
 * the process must have ended.
 */
async function probe(address: Address, onAccepted: () => void): Promise<ProbeResult> {
  for (let left = MAX_TRIES; left > 1; left -= 1) {
    // eslint-disable-next-line no-await-in-loop
    const found = await tryOnce(address, onAccepted);
    if (found !== 'unknown') {
      return found;
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(RETRY_PAUSE_MS);
  }
  return tryOnce(address, onAccepted);
}

/** Starts a probe of an address. */
export function probeAddress(address: Address): Probe {
  let settle: () => void = () => undefined;
  const settled = new Promise<void>((resolve) => {
    settle = resolve;
  });
  const result = probe(address, settle);
  result.finally(settle).catch(() => undefined);
  setTimeout(settle, CONNECT_TIMEOUT_MS + RETRY_PAUSE_MS).unref();
  return { result, settled };
}

/** Starts a probe of the host and port of a URL. */
export function probeUrl(url: string): Probe {
  const { hostname, port, protocol } = new URL(url);
  const defaultPort = protocol === 'https:' ? 443 : 80;
  return probeAddress({ host: hostname, port: port === '' ? defaultPort : Number(port) });
}
