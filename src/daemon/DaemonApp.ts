/** The HTTP application of a process: liveness, readiness, metrics and error responses. */
import Koa, { type Context } from 'koa';
import { RequestError } from '../protocol/index.js';
import type { Runtime } from './DaemonRuntime.js';

/** Reports whether the process is ready. `reason` is the body of `/readyz`. */
export type ReadinessCheck = () => { readonly ready: boolean; readonly reason: string };

/** Responds with an error as JSON, and with `retry-after` if the error names a time. */
export function sendError(ctx: Context, err: unknown, requestId?: string): void {
  const error =
    err instanceof RequestError ? err : new RequestError('endpoint_failed', (err as Error).message);
  ctx.status = error.status;
  if (error.retryAfterSeconds !== undefined) {
    ctx.set('retry-after', String(error.retryAfterSeconds));
  }
  ctx.body = error.toBody(requestId);
}

/** Creates a Koa application that serves `/livez`, `/readyz` and `/metrics`. */
export function createApp(runtime: Runtime, isReady: ReadinessCheck): Koa {
  const handlers: Readonly<Record<string, (ctx: Context) => Promise<void> | void>> = {
    '/livez': (ctx) => {
      ctx.body = 'ok\n';
    },
    '/readyz': (ctx) => {
      const { ready, reason } = isReady();
      ctx.status = ready ? 200 : 503;
      ctx.body = `${reason}\n`;
    },
    '/metrics': async (ctx) => {
      ctx.type = runtime.registry.contentType;
      ctx.body = await runtime.registry.metrics();
    },
  };
  const app = new Koa();
  app.on('error', (err: Error) => runtime.log.debug({ err: err.message }, 'http error'));
  app.use(async (ctx, next) => {
    const handler = ctx.method === 'GET' ? handlers[ctx.path] : undefined;
    await (handler === undefined ? next() : handler(ctx));
  });
  return app;
}
