/** A stand-in for an engine: heartbeats, the check of its instance, and whatever answer a case needs. */
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { fetch } from 'undici';

const HEARTBEAT_MS = 1_200;

async function readBody(req) {
  const chunks = [];
  // eslint-disable-next-line no-restricted-syntax
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** One stand-in engine. */
export class StandInServer {
  /** Requests that were run, with the time, ms. */
  runs = [];

  #stop = new AbortController();

  #seq = 0;

  #born = Date.now();

  /**
   * @param {object} options Id, service, host and port; `answer(req, res, head, body)` runs a request, and
   * `intercept(req, res, body)` handles one before anything else if it returns true.
   */
  constructor(options) {
    this.options = options;
    this.server = createServer((req, res) => {
      this.#onRequest(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 15_000;
  }

  async start(controls) {
    const { host, port } = this.options;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port }, resolve);
    });
    this.#beat(controls).catch(() => undefined);
  }

  stop() {
    this.#stop.abort();
    this.server.close();
    this.server.closeAllConnections();
  }

  async #beat(controls) {
    while (!this.#stop.signal.aborted) {
      // eslint-disable-next-line no-await-in-loop
      await this.#beatOnce(controls);
      // eslint-disable-next-line no-await-in-loop
      await delay(HEARTBEAT_MS);
    }
  }

  async #beatOnce(controls) {
    const { id, service, host, port, zone = 'z1', slots = 6 } = this.options;
    this.#seq += 1;
    const body = JSON.stringify({
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      seq: this.#seq,
      born: this.#born,
    });
    // eslint-disable-next-line no-restricted-syntax
    for (const control of controls) {
      // eslint-disable-next-line no-await-in-loop
      const status = await fetch(`http://${control}/laburnumgauge/instances/${id}/heartbeat`, {
        method: 'POST',
        body,
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(1_000),
      })
        .then(async (res) => {
          await res.arrayBuffer();
          return res.status;
        })
        .catch(() => 0);
      if (status === 200) {
        return;
      }
    }
  }

  async #onRequest(req, res) {
    const { id, answer, intercept } = this.options;
    const body = await readBody(req);
    if (intercept?.(req, res, body) === true) {
      return;
    }
    const attempt = String(req.headers['attempt-id'] ?? '');
    if (req.headers['expect-instance'] !== id) {
      res.writeHead(421, { 'attempt-id': attempt, 'not-executed': '1', 'instance-id': id }).end();
      return;
    }
    const head = { 'attempt-id': attempt, 'server-seal': `seal-${id}` };
    this.runs.push({
      id: attempt,
      server: id,
      at: performance.now(),
      path: req.url,
      tenant: req.headers.tenant,
      body: body.toString(),
    });
    await answer(req, res, head, body);
  }
}

/** A complete plain answer of 800 bytes after 20 ms. */
export async function answerPlain(_req, res, head) {
  await delay(20);
  const body = Buffer.alloc(800, 'a');
  res.writeHead(200, { ...head, 'content-length': body.length }).end(body);
}
