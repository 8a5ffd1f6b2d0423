/** Sends requests as the platform's clients do, over kept connections. */
import { Agent, request } from 'node:http';

/** Host name of the routes. */
export const HOST = 'desk.example';

let counter = 0;

/** An id that no other request of this run has. */
export function nextId() {
  counter += 1;
  return `${process.pid.toString(16)}${counter.toString(16).padStart(8, '0')}`;
}

/** An agent of one client, which keeps its connections. */
export function openAgent() {
  return new Agent({ keepAlive: true, maxSockets: 64 });
}

/**
 * Sends one request; resolves with its status, or 0 if the connection ended without an answer, or -1 if the client
 * gave up after `patienceMs`.
 */
export async function send({
  agent,
  at,
  path,
  method = 'GET',
  key = 'key-1',
  deadlineMs = 1_500,
  patienceMs = deadlineMs,
  headers = {},
  body = '',
  id = nextId(),
}) {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const end = (status, size = 0, seal = '') =>
      resolve({ id, path, status, size, seal, sentAt, ms: Math.round(performance.now() - sentAt) });
    const req = request({
      agent,
      host: at.host,
      port: at.port,
      method,
      path,
      headers: {
        host: HOST,
        'attempt-id': id,
        'deadline-ms': String(deadlineMs),
        ...(key === null ? {} : { authorization: `Bearer ${key}` }),
        'content-length': Buffer.byteLength(body),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      end(-1);
      req.destroy();
    }, patienceMs);
    req.on('response', (res) => {
      let size = 0;
      res.on('data', (chunk) => {
        size += chunk.length;
      });
      res.on('end', () => {
        clearTimeout(timer);
        end(res.statusCode, size, res.headers['server-seal'] ?? '');
      });
      res.on('error', () => undefined);
      res.on('close', () => {
        clearTimeout(timer);
        end(0, size);
      });
    });
    req.on('error', () => {
      clearTimeout(timer);
      end(0);
    });
    req.end(body);
  });
}
