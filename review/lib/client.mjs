/** A client's request on a connection of its own, as the pages describe it. */
import { request } from 'node:http';
import { KEY, ROUTE_HOST } from './platform.mjs';

/**
 * Sends one request. Resolves with what the client has seen: `status` 0 and `ended` for a connection that ended without
 * an answer, `whole` for a complete one.
 */
export async function ask(host, port, { id, path, deadlineMs, patienceMs = null, headers = {} }) {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const seen = { id, startedAt, status: 0, seal: null, events: 0, whole: false, left: false };
    let isDone = false;
    let timer = null;
    const finish = (fields) => {
      if (!isDone) {
        isDone = true;
        clearTimeout(timer);
        resolve({ ...seen, ...fields, endedAt: performance.now() });
      }
    };
    const req = request(
      {
        host,
        port,
        method: 'POST',
        path,
        agent: false,
        headers: {
          host: ROUTE_HOST,
          'attempt-id': id,
          'deadline-ms': String(deadlineMs),
          authorization: `Bearer ${KEY}`,
          ...headers,
        },
      },
      (res) => {
        seen.status = res.statusCode;
        seen.seal = res.headers['server-seal'] ?? null;
        seen.firstAt = performance.now();
        res.on('data', (chunk) => {
          clearTimeout(timer);
          seen.events += String(chunk).split('\n\n').length - 1;
        });
        res.on('end', () => finish({ whole: res.complete }));
        res.on('error', (err) => finish({ error: err.code ?? err.message }));
        res.on('close', () => finish({ whole: res.complete }));
      },
    );
    timer = setTimeout(() => {
      seen.left = true;
      req.destroy();
      finish({ left: true });
    }, patienceMs ?? deadlineMs);
    req.on('error', (err) => finish({ error: err.code ?? err.message }));
    req.end(`{"prompt":"${id}"}`);
  });
}
