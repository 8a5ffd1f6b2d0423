/** A client that reads its answer slowly. */
import { request } from 'node:http';
import { HOST, nextId } from './client.mjs';

const TICK_MS = 50;

/**
 * Sends one request, and reads its answer at `bytesPerS` at most. Resolves with the status, the declared length and
 * the bytes received once the connection or the answer has ended.
 */
export async function sendAndReadSlowly({ agent, at, path, key = 'key-1', deadlineMs, bytesPerS }) {
  const id = nextId();
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let length = 0;
    let size = 0;
    let isComplete = false;
    const end = () =>
      resolve({ id, status, length, size, isComplete, sentAt, endedAt: performance.now() });
    const req = request({
      agent,
      host: at.host,
      port: at.port,
      path,
      headers: {
        host: HOST,
        'attempt-id': id,
        'deadline-ms': String(deadlineMs),
        authorization: `Bearer ${key}`,
      },
    });
    req.on('response', (res) => {
      status = res.statusCode;
      length = Number(res.headers['content-length'] ?? 0);
      const startedAt = performance.now();
      const timer = setInterval(() => {
        if (size <= ((performance.now() - startedAt) / 1000) * bytesPerS) {
          res.resume();
        }
      }, TICK_MS);
      res.on('data', (chunk) => {
        size += chunk.length;
        if (size > ((performance.now() - startedAt) / 1000) * bytesPerS) {
          res.pause();
        }
      });
      res.on('end', () => {
        isComplete = res.complete;
      });
      res.on('error', () => undefined);
      res.on('close', () => {
        clearInterval(timer);
        end();
      });
    });
    req.on('error', end);
    req.end();
  });
}
