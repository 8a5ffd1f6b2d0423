/** Tells by one connection, or a few, whether anything listens at an address. */
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Address } from './TransportAddress.js';

/** What a probe has found. */
export type ProbeResult =
  /** The host answered that nothing listens there: the process has ended. */
  | 'refused'
  /** Something listens there, and kept the connection. */
  | 'open'
  /** No answer in time, or each connection was taken and closed. */
  | 'unknown';

/** An answer takes this long at most: some ten round trips between AZs. In ms. */
const CONNECT_TIMEOUT_MS = 60;

/** A probe that is taken and not closed at once tells no more for a while, ms. */
const ACCEPTED_MS = 20;

/**
 * A connection that stays open this long has been kept. A proxy in front of a process that has ended takes it as
 * well, and closes it once it has found nobody. In ms.
 */
const KEPT_OPEN_MS = 300;

/** Connections tried at most, and the pause between them, ms: a process is done with ending by then. */
const MAX_TRIES = 3;
const RETRY_PAUSE_MS = 40;

/** A probe under way. */
export interface Probe {
  /** Never rejects. */
  readonly result: Promise<ProbeResult>;
  /** Resolves with the result, or earlier where that will take long: whoever waits to go on needn't wait longer. */
  readonly settled: Promise<void>;
}

/** Tries one connection; `onTaken` is called once it was taken and not closed at once. */
async function tryOnce({ host, port }: Address, onTaken: () => void): Promise<ProbeResult> {
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
      timers.push(setTimeout(onTaken, ACCEPTED_MS));
      timers.push(setTimeout(() => end('open'), KEPT_OPEN_MS));
    });
    socket.once('close', () => end('unknown'));
    socket.once('error', (err: NodeJS.ErrnoException) =>
      end(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
    // Read, so that an end is noticed.
    socket.resume();
  });
}

/**
 * Failure: a process that ends has closed its connections and not yet what it listens on. Symptom: a probe right
 * after the loss is taken and reset, which tells nothing, and the end is held against nobody. Enough: it is tried
 * again until the process must be done with ending.
 */
async function probe(address: Address, onTaken: () => void): Promise<ProbeResult> {
  for (let left = MAX_TRIES; left > 1; left -= 1) {
    // eslint-disable-next-line no-await-in-loop
    const found = await tryOnce(address, onTaken);
    if (found !== 'unknown') {
      return found;
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(RETRY_PAUSE_MS);
  }
  return tryOnce(address, onTaken);
}

/** Probes an address. */
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

/** Probes the host and port of a URL. */
export function probeUrl(url: string): Probe {
  const { hostname, port, protocol } = new URL(url);
  const defaultPort = protocol === 'https:' ? 443 : 80;
  return probeAddress({ host: hostname, port: port === '' ? defaultPort : Number(port) });
}
