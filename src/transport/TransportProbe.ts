/** Tells by one connection whether anything listens at an address. */
import { connect } from 'node:net';
import type { Address } from './TransportAddress.js';

/** What a probe has found. */
export type ProbeResult =
  /** The host answered that nothing listens there: the process has ended. */
  | 'refused'
  /** Something listens there, and kept the connection. */
  | 'open'
  /** No answer in time, or the connection was taken and closed. */
  | 'unknown';

/** An answer takes this long at most: some ten round trips between AZs. In ms. */
const ANSWER_MS = 60;

/** A probe that is taken and not closed at once tells no more for a while, ms. */
const TAKEN_MS = 20;

/**
 * A connection that stays open this long has been kept. A proxy in front of a process that has ended takes it as
 * well, and closes it once it has found nobody. In ms.
 */
const KEPT_MS = 300;

/** A probe under way. */
export interface Probe {
  /** Never rejects. */
  readonly result: Promise<ProbeResult>;
  /** Resolves with the result, or earlier where that will take long: whoever waits to go on needn't wait longer. */
  readonly settled: Promise<void>;
}

/** Probes an address. */
export function probeAddress({ host, port }: Address): Probe {
  const socket = connect({ host, port });
  // Read, so that an end is noticed.
  socket.resume();
  let settle: () => void = () => undefined;
  const settled = new Promise<void>((resolve) => {
    settle = resolve;
  });
  const result = new Promise<ProbeResult>((resolve) => {
    const timers: NodeJS.Timeout[] = [];
    const end = (found: ProbeResult): void => {
      timers.forEach((timer) => clearTimeout(timer));
      socket.destroy();
      resolve(found);
      settle();
    };
    timers.push(setTimeout(() => end('unknown'), ANSWER_MS));
    socket.once('connect', () => {
      timers.forEach((timer) => clearTimeout(timer));
      timers.push(setTimeout(settle, TAKEN_MS));
      timers.push(setTimeout(() => end('open'), KEPT_MS));
    });
    socket.once('close', () => end('unknown'));
    socket.once('error', (err: NodeJS.ErrnoException) =>
      end(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
  });
  return { result, settled };
}

/** Probes the host and port of a URL. */
export function probeUrl(url: string): Probe {
  const { hostname, port, protocol } = new URL(url);
  const usual = protocol === 'https:' ? 443 : 80;
  return probeAddress({ host: hostname, port: port === '' ? usual : Number(port) });
}
