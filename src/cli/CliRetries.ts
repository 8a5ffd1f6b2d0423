/** Retries of each service over all entry hosts against the allowance, from their logs. Pure functions. */
import {
  arrivalsAt,
  worstRetryWindow,
  type RetryAllowance,
  type RetryArrival,
  type RetryWindow,
} from '../protocol/index.js';
import type { LogLine } from './CliExplain.js';

/** The worst windows of one service. */
export interface ServiceRetries {
  readonly service: string;
  readonly requests: number;
  readonly retries: number;
  /** The window with the most retries of its allowance, by when they were sent. */
  readonly sent: RetryWindow;
  /** The same where each retry counts in every window that it can have arrived in. */
  readonly arrived: RetryWindow;
  /** Longest time in which a retry may have been on its way, ms. */
  readonly longestWayMs: number;
}

/** Retries found in logs; times are ms since the epoch. */
export interface RetryReport {
  /** Null if no entry process has logged it. */
  readonly allowance: RetryAllowance | null;
  readonly services: readonly ServiceRetries[];
}

interface ServiceLines {
  readonly requests: number[];
  readonly arrivals: RetryArrival[];
}

function timeOf(line: LogLine): number {
  return Date.parse(line.time);
}

function allowanceOf(log: readonly LogLine[]): RetryAllowance | null {
  const line = log.findLast(({ event }) => event === 'retry_allowance');
  return line === undefined
    ? null
    : { ratio: Number(line.ratio), extra: Number(line.extra), windowMs: Number(line.windowMs) };
}

function collectByService(log: readonly LogLine[]): ReadonlyMap<string, ServiceLines> {
  const services = new Map<string, ServiceLines>();
  const linesOf = (line: LogLine): ServiceLines => {
    const service = String(line.service);
    const known = services.get(service) ?? { requests: [], arrivals: [] };
    services.set(service, known);
    return known;
  };
  // A process that has ended may leave a retry without its second line; it then counts when it was sent.
  const onTheWay = new Map<string, number>();
  const keyOf = ({ id, request, endpoint }: LogLine): string =>
    JSON.stringify([id, request, endpoint]);
  const collectors: Readonly<Record<string, (line: LogLine) => void>> = {
    answer: (line) => linesOf(line).requests.push(timeOf(line) - Number(line.ms)),
    retry_sent: (line) => {
      const { arrivals } = linesOf(line);
      onTheWay.set(keyOf(line), arrivals.length);
      arrivals.push({ earliest: timeOf(line), latest: timeOf(line) });
    },
    retry_arrived: (line) => {
      const { arrivals } = linesOf(line);
      const at = onTheWay.get(keyOf(line)) ?? arrivals.length;
      const earliest = arrivals[at]?.earliest ?? timeOf(line) - Number(line.ms);
      arrivals[at] = { earliest, latest: timeOf(line) };
    },
  };
  [...log].sort((a, b) => timeOf(a) - timeOf(b)).forEach((line) => collectors[line.event]?.(line));
  return services;
}

function reportOf(
  service: string,
  { requests, arrivals }: ServiceLines,
  allowance: RetryAllowance,
): ServiceRetries {
  const sent = arrivalsAt(arrivals.map(({ earliest }) => earliest));
  return {
    service,
    requests: requests.length,
    retries: arrivals.length,
    sent: worstRetryWindow(requests, sent, allowance),
    arrived: worstRetryWindow(requests, arrivals, allowance),
    longestWayMs: Math.max(0, ...arrivals.map(({ earliest, latest }) => latest - earliest)),
  };
}

/** Compares the retries in the logs of all entry processes with the allowance that they have logged. */
export function reportRetries(log: readonly LogLine[]): RetryReport {
  const allowance = allowanceOf(log);
  const services =
    allowance === null
      ? []
      : [...collectByService(log)].map(([service, lines]) => reportOf(service, lines, allowance));
  return { allowance, services };
}

function formatWindow({ from, retries, allowed }: RetryWindow): string {
  const share = (retries / Math.max(1, allowed)).toFixed(2);
  const start = from === 0 ? '' : ` in the window from ${new Date(from).toISOString()}`;
  return `${retries} of ${Math.floor(allowed)} allowed (${share})${start}`;
}

/** Formats a report as text, with the service that came nearest to its allowance first. */
export function formatRetries({ allowance, services }: RetryReport): string {
  if (allowance === null) {
    return 'no allowance of retries in the logs';
  }
  const { ratio, extra, windowMs } = allowance;
  const byUse = [...services].sort(
    (a, b) => b.arrived.retries / b.arrived.allowed - a.arrived.retries / a.arrived.allowed,
  );
  return [
    `allowance: ${ratio} of the requests and ${extra}, in ${windowMs / 1_000} s`,
    ...byUse.flatMap(({ service, requests, retries, sent, arrived, longestWayMs }) => [
      `${service}: ${retries} retries of ${requests} requests`,
      `  most sent: ${formatWindow(sent)}`,
      `  most that can have arrived: ${formatWindow(arrived)}`,
      `  longest on its way: ${Math.round(longestWayMs)} ms`,
    ]),
  ].join('\n');
}
