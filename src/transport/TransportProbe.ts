/** Tells by one connection whether anything listens at an address. */
import { connect } from 'node:net';
import type { Address } from './TransportAddress.js';

/** What a probe has found. */
export type ProbeResult =
  /** The host answered that nothing listens there: the process has ended. */
  | 'refused'
  /** Something listens there, and kept the connection. */
  | 'open'
  /** No answer in time, or the connection was taken and closed at once. */
  | 'unknown';

/** An answer takes this long at most: some ten round trips between AZs. In ms. */
const PROBE_MS = 60;

/** A connection that stays open this long has been kept: a proxy closes it once it finds nobody. In ms. */
const KEPT_MS = 20;

/** Probes an address. Never rejects. */
export async function probeAddress({ host, port }: Address): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const settle = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => settle('unknown'), PROBE_MS);
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      const kept = setTimeout(() => settle('open'), KEPT_MS);
      socket.once('close', () => clearTimeout(kept));
    });
    socket.once('close', () => settle('unknown'));
    socket.once('error', (err: NodeJS.ErrnoException) =>
      settle(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
    // Read, so that an end is noticed.
    socket.resume();
  });
}

/** Probes the host and port of a URL. Never rejects. */
export async function probeUrl(url: string): Promise<ProbeResult> {
  const { hostname, port, protocol } = new URL(url);
  const usual = protocol === 'https:' ? 443 : 80;
  return probeAddress({ host: hostname, port: port === '' ? usual : Number(port) });
}
