/** Stand-in engine: heartbeats, instance check, plain answers, streams, and the rank of a group. */
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { ENGINE_PORT } from './platform.mjs';

const HEARTBEAT_MS = 1_200;

async function readBody(req) {
  const chunks = [];
  // eslint-disable-next-line no-restricted-syntax
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** A sound engine. */
export class Engine {
  /** Requests that it has begun to run: id, time and path. */
  runs = [];

  #seq = 0;

  #stopped = new AbortController();

  #born = Date.now();

  state = 'ready';

  constructor(
    platform,
    id,
    service,
    host,
    { events = 28, pauseMs = 30, workMs = 0, slots = 8, rank = null },
  ) {
    Object.assign(this, { platform, id, service, host, events, pauseMs, workMs, slots, rank });
    this.active = 0;
    this.server = createServer((req, res) => {
      this.#onRequest(req, res).catch(() => res.destroy());
    });
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: this.host, port: ENGINE_PORT }, resolve);
    });
    this.#beat().catch(() => undefined);
  }

  stop() {
    this.#stopped.abort();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** What the engine says of itself in a heartbeat; each call has a higher number. */
  heartbeat() {
    this.#seq += 1;
    return {
      service: this.service,
      address: `${this.host}:${ENGINE_PORT}`,
      zone: 'ikeja-hall',
      version: 'v1',
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      born: this.#born,
      seq: this.#seq,
    };
  }

  get born() {
    return this.#born;
  }

  /** Ends the heartbeats, as an engine does that has deregistered. */
  silence() {
    this.#stopped.abort();
  }

  async #beat() {
    let n = 0;
    while (!this.#stopped.signal.aborted) {
      const body = this.heartbeat();
      let isAcknowledged = false;
      for (let tries = 0; tries < 3 && !isAcknowledged; tries += 1) {
        const url = `/laburnumgauge/instances/${this.id}/heartbeat`;
        // eslint-disable-next-line no-await-in-loop
        const res = await this.platform.control((n % 3) + 1, 'POST', url, body).catch(() => null);
        isAcknowledged = res?.status === 200;
        n += isAcknowledged ? 0 : 1;
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(isAcknowledged ? HEARTBEAT_MS : 200, undefined, {
        signal: this.#stopped.signal,
      }).catch(() => undefined);
    }
  }

  async #onRequest(req, res) {
    const body = await readBody(req);
    if (req.url.startsWith('/laburnumgauge/')) {
      this.#onOwnCall(req, body, res);
      return;
    }
    const id = String(req.headers['attempt-id'] ?? '');
    if (req.headers['expect-instance'] !== this.id) {
      res.writeHead(421, { 'attempt-id': id, 'not-executed': '1' }).end();
      return;
    }
    this.runs.push({ id, at: performance.now(), path: req.url, tenant: req.headers.tenant });
    const head = { 'attempt-id': id, 'server-seal': `seal.${this.id}.${id}` };
    this.active += 1;
    try {
      await this.#answer(req, res, head);
    } finally {
      this.active -= 1;
    }
  }

  async #answer(req, res, head) {
    if (this.workMs > 0) {
      await delay(this.workMs);
      const text = `answer of ${this.id} to ${head['attempt-id']}\n`;
      res.writeHead(200, { ...head, 'content-length': text.length }).end(text);
      return;
    }
    res.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    for (let n = first; n <= this.events && !res.destroyed; n += 1) {
      // eslint-disable-next-line no-await-in-loop
      await delay(this.pauseMs);
      res.write(`id: ${n}\ndata: ${n} of ${this.events}\n\n`);
    }
    res.end();
  }

  #onOwnCall(req, body, res) {
    const send = (status, json) =>
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(json));
    if (this.rank !== null) {
      this.rank.answer(this, req.url, body, send);
    } else {
      send(404, {});
    }
  }
}
