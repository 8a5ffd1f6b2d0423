/** Fake HTTP service: its answer depends on path and body, and it counts the runs of each body. */
import { createServer, type Server } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

/** The exact bytes that a caller must receive. */
export function expectedReply(path: string, body: string): string {
  return JSON.stringify({ path, said: body, ok: true });
}

/** A fake service on one port; it answers after `serviceMs`. */
export class FakeService {
  readonly #serviceMs: number;

  readonly #runs = new Map<string, number>();

  constructor(serviceMs: number) {
    this.#serviceMs = serviceMs;
  }

  /** Number of runs by request body. */
  get runs(): ReadonlyMap<string, number> {
    return this.#runs;
  }

  async listen(port: number, host = '127.0.0.1'): Promise<Server> {
    const server = createServer((req, res) => {
      const answer = async (): Promise<void> => {
        if (req.url === '/runs') {
          res.end(JSON.stringify(Object.fromEntries(this.#runs)));
          return;
        }
        const chunks = await req.toArray();
        const body = Buffer.concat(chunks as Buffer[]).toString('utf8');
        this.#runs.set(body, (this.#runs.get(body) ?? 0) + 1);
        await delay(this.#serviceMs);
        res.writeHead(200, { 'content-type': 'application/json' });
        res.end(expectedReply(req.url ?? '', body));
      };
      answer().catch(() => res.destroy());
    });
    await new Promise<void>((resolve) => {
      server.listen(port, host, resolve);
    });
    return server;
  }
}
