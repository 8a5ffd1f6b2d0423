/** Fake model engine: a fixed number of slots, deterministic answers and a count of runs for each request. */
import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { FakeOrders, type FakeOrder } from './FakeOrders.js';

/** Parameters of a fake engine. */
export interface FakeEngineOptions {
  readonly slots: number;
  /** Time until the first token, ms. */
  readonly prefillMs: number;
  /** Time between tokens, ms. */
  readonly tokenMs: number;
  /** Whether orders with an old fencing token are refused; true by default. */
  readonly fencing?: boolean;
  /** Delay until a change of the load is reported, ms; 0 by default. */
  readonly loadLagMs?: number;
  /** Crashes the engine; called when it starts to answer a request whose `fatal` is true. */
  readonly crash?: () => void;
}

interface CompletionBody {
  readonly model: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly prompt?: unknown;
  readonly messages?: unknown;
  readonly user?: string;
  /** Whether it crashes each engine that starts to answer it. */
  readonly fatal?: boolean;
}

const DEFAULT_TOKENS = 16;

/** Tokens of the answer; they depend only on model, prompt, user and length, so every engine gives the same. */
export function answerTokens(body: CompletionBody): readonly string[] {
  const text = JSON.stringify([body.model, body.prompt ?? body.messages, body.user]);
  const seed = createHash('sha256').update(text).digest('hex');
  return Array.from(
    { length: body.max_tokens ?? DEFAULT_TOKENS },
    (_item, i) => ` ${seed.slice((i * 3) % 60, ((i * 3) % 60) + 4)}${i}`,
  );
}

function answerId(body: CompletionBody): string {
  return `cmpl-${createHash('sha256').update(JSON.stringify(body)).digest('hex').slice(0, 16)}`;
}

/** Server-sent event with one token of a streamed answer. */
export function tokenEvent(body: CompletionBody, token: string): string {
  const choice = { index: 0, delta: { content: token } };
  return `data: ${JSON.stringify({ id: answerId(body), model: body.model, choices: [choice] })}\n\n`;
}

/** Last event of a streamed answer. */
export const FINAL_EVENT = 'data: [DONE]\n\n';

/** JSON body of the answer to a request that is not streamed. */
export function nonStreamedAnswer(body: CompletionBody): string {
  const content = answerTokens(body).join('');
  const choice = { index: 0, message: { role: 'assistant', content } };
  return JSON.stringify({ id: answerId(body), model: body.model, choices: [choice] });
}

/** The exact bytes that a caller must receive. */
export function expectedAnswer(body: CompletionBody): string {
  return body.stream === true
    ? [...answerTokens(body).map((token) => tokenEvent(body, token)), FINAL_EVENT].join('')
    : nonStreamedAnswer(body);
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks = await req.toArray();
  return Buffer.concat(chunks as Buffer[]).toString('utf8');
}

/** Maximum number of cached prefixes; the oldest is evicted first. */
const CACHE_SIZE = 64;

/** Every 7th cache event is left out of `/cache-events`, as if it were lost. */
const LOST_EVENT_INTERVAL = 7;

function prefixOf(body: CompletionBody): string {
  return JSON.stringify(body.prompt ?? body.messages ?? '').slice(0, 64);
}

/** Handler of a request other than a completion; its result is sent as JSON. */
type ManagementHandler = (req: IncomingMessage) => Promise<unknown>;

/** A model engine on one port. */
export class FakeEngine {
  readonly #options: FakeEngineOptions;

  /** Number of runs of each request, by its `user` field. */
  readonly #runs = new Map<string, number>();

  readonly #slotWaiters: (() => void)[] = [];

  readonly #orders: FakeOrders;

  /** Cached prefixes, oldest first; `/kv` exports and imports them. */
  readonly #cache = new Set<string>();

  readonly #events: { readonly seq: number; readonly added: string }[] = [];

  readonly #cancelled = new Set<string>();

  readonly #managementHandlers: Readonly<Record<string, ManagementHandler>> = {
    'GET /runs': async () => Object.fromEntries(this.#runs),
    'GET /load': async () => this.#reportedLoad,
    'GET /cache-events': async () =>
      this.#events.filter(({ seq }) => seq % LOST_EVENT_INTERVAL !== 0),
    'GET /kv': async () => [...this.#cache],
    'POST /kv': async (req) => {
      (JSON.parse(await readText(req)) as readonly string[]).forEach((key) =>
        this.#cachePrefix(key),
      );
      return { held: this.#cache.size };
    },
    'GET /orders': async () => this.#orders.state,
    'POST /orders': async (req) => this.#orders.apply(JSON.parse(await readText(req)) as FakeOrder),
    'POST /cancel': async (req) => {
      this.#cancelled.add(await readText(req));
      return {};
    },
  };

  #running = 0;

  #reportedLoad = { running: 0, queued: 0, slots: 0 };

  constructor(options: FakeEngineOptions) {
    this.#options = options;
    this.#orders = new FakeOrders(options.fencing ?? true);
  }

  get runs(): ReadonlyMap<string, number> {
    return this.#runs;
  }

  /** Starts the HTTP server; closing its connections cuts off the answers in progress. */
  async listen(port: number, host = '127.0.0.1'): Promise<Server> {
    const server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
    await new Promise<void>((resolve) => {
      server.listen(port, host, resolve);
    });
    return server;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const managementHandler = this.#managementHandlers[`${req.method ?? ''} ${req.url ?? ''}`];
    if (managementHandler !== undefined) {
      res.end(JSON.stringify(await managementHandler(req)));
      return;
    }
    const body = JSON.parse(await readText(req)) as CompletionBody;
    const user = body.user ?? '';
    this.#runs.set(user, (this.#runs.get(user) ?? 0) + 1);
    await this.#acquireSlot();
    const offset = Number(req.headers['x-resume-offset'] ?? 0);
    try {
      await this.#answer(body, res, offset);
    } finally {
      this.#running -= 1;
      this.#slotWaiters.shift()?.();
      this.#reportLoad();
    }
  }

  #cachePrefix(prefix: string): void {
    this.#cache.delete(prefix);
    this.#cache.add(prefix);
    this.#events.push({ seq: this.#events.length + 1, added: prefix });
    const [oldest] = this.#cache;
    if (this.#cache.size > CACHE_SIZE && oldest !== undefined) {
      this.#cache.delete(oldest);
    }
  }

  /** Updates the reported load after `loadLagMs`, so that a report is out of date by that time. */
  #reportLoad(): void {
    const load = {
      running: this.#running,
      queued: this.#slotWaiters.length,
      slots: this.#options.slots,
    };
    setTimeout(() => {
      this.#reportedLoad = load;
    }, this.#options.loadLagMs ?? 0).unref();
  }

  async #acquireSlot(): Promise<void> {
    if (this.#running >= this.#options.slots) {
      await new Promise<void>((resolve) => {
        this.#slotWaiters.push(resolve);
      });
    }
    this.#running += 1;
  }

  async #answer(body: CompletionBody, res: ServerResponse, offset: number): Promise<void> {
    const { prefillMs, tokenMs } = this.#options;
    const prefix = prefixOf(body);
    await delay(this.#cache.has(prefix) ? prefillMs / 4 : prefillMs);
    this.#cachePrefix(prefix);
    this.#reportLoad();
    if (body.fatal === true) {
      this.#options.crash?.();
    }
    if (body.stream !== true) {
      await delay(tokenMs * answerTokens(body).length);
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(nonStreamedAnswer(body));
      return;
    }
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    const tokens = answerTokens(body);
    const next = async (i: number): Promise<void> => {
      const token = tokens[i];
      if (token === undefined || res.destroyed || this.#cancelled.has(body.user ?? '')) {
        return;
      }
      res.write(tokenEvent(body, token));
      if (tokenMs > 0) {
        await delay(tokenMs);
      }
      await next(i + 1);
    };
    await next(offset);
    res.end(this.#cancelled.has(body.user ?? '') ? '' : FINAL_EVENT);
  }
}
