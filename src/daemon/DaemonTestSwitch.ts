/** Test switch that silently cuts this process off from peers by name. Off unless a setting enables it. */
import type Koa from 'koa';
import * as z from 'zod';
import { readBody, type LinkSwitch } from '../transport/index.js';

const cutSchema = z.strictObject({ peers: z.array(z.string()) });

/** Tracks which peers are cut off. */
export class DaemonTestSwitch {
  readonly #enabled: boolean;

  #peers: ReadonlySet<string> = new Set();

  /** `cut` names peers that are cut off from the start, for restarts during a cut. */
  constructor(enabled: boolean, cut: readonly string[]) {
    this.#enabled = enabled;
    this.#peers = new Set(enabled ? cut : []);
  }

  /** Whether everything from and to a peer is dropped. */
  readonly isCut: LinkSwitch = (link) => this.#peers.has(link.peer);

  /** Adds `POST /test/cut` to an application if the switch is enabled. */
  addApi(app: Koa): void {
    if (!this.#enabled) {
      return;
    }
    app.use(async (ctx, next) => {
      if (ctx.method !== 'POST' || ctx.path !== '/test/cut') {
        await next();
        return;
      }
      const body = await readBody(ctx.req);
      this.#peers = new Set(cutSchema.parse(JSON.parse(body.toString('utf8'))).peers);
      ctx.body = { peers: [...this.#peers] };
    });
  }
}
