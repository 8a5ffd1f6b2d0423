/** Writing of answers to callers. */
import type { ServerResponse } from 'node:http';
import { RequestError } from '../../protocol/index.js';
import type { WholeAnswer } from './DirectAttempt.js';

/** The answer to a request that endpoints have ended under: until it is forgotten no try makes sense. */
export function quarantined(): RequestError {
  return new RequestError('quarantined', 'endpoints have ended while they ran this request');
}

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
