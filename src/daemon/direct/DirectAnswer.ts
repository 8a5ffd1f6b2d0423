/** Writing of answers to callers. */
import type { ServerResponse } from 'node:http';
import type { RequestError } from '../../protocol/index.js';
import type { WholeAnswer } from './DirectAttempt.js';

/** Passes an endpoint's answer on, byte for byte. */
export function sendWhole(
  res: ServerResponse,
  { head, body }: WholeAnswer,
  headers: string[],
): void {
  res.writeHead(head.status, [...headers, 'Content-Length', String(body.length)]);
  res.end(body);
}

/** Answers with an error of our own. `retryAfterMs` tells when to come back. */
export function sendError(
  res: ServerResponse,
  error: RequestError,
  retryAfterMs: number | null,
  isLeaving: boolean,
): void {
  if (res.destroyed || res.headersSent) {
    return;
  }
  const body = Buffer.from(JSON.stringify(error.toBody()));
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
  if (retryAfterMs !== null) {
    headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(2));
  }
  if (isLeaving) {
    headers.push('Connection', 'close');
  }
  res.writeHead(error.status, headers);
  res.end(body);
}
