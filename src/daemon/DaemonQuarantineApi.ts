/**
 * The part of the administration API that lists suspect requests, during which endpoints crashed, and releases them.
 */
import type Koa from 'koa';
import type { Context } from 'koa';
import { crashCount } from '../coordination/index.js';
import type { DaemonQuarantine } from './DaemonQuarantine.js';

const LIST_PATH = '/v1/quarantine';

const RELEASE_PATH = /^\/v1\/quarantine\/([0-9a-f]+)\/release$/;

function list(quarantine: DaemonQuarantine): unknown {
  const requests = quarantine.suspects
    .map((suspect) => ({
      kind: suspect.kind,
      digest: suspect.digest,
      customer: suspect.customer,
      ends: crashCount(suspect),
      lives: suspect.ends.filter((incarnationKey) => !suspect.cleared.includes(incarnationKey)),
      forgottenInS: Math.round(quarantine.quarantinedForMs(suspect.digest) / 1_000),
    }))
    .sort((a, b) => b.ends - a.ends);
  return { requests };
}

function release(quarantine: DaemonQuarantine, digest: string, ctx: Context): void {
  const released = quarantine.clear([digest]);
  ctx.status = released ? 200 : 404;
  ctx.body = released
    ? { digest, released }
    : { error: `nothing is held against a request or part with digest ${digest}` };
}

/** Adds the quarantine API to an application; all other calls go on to the next handler. */
export function addQuarantineApi(app: Koa, quarantine: DaemonQuarantine): void {
  app.use(async (ctx, next) => {
    const [, digest] = RELEASE_PATH.exec(ctx.path) ?? [];
    if (ctx.method === 'GET' && ctx.path === LIST_PATH) {
      ctx.body = list(quarantine);
    } else if (ctx.method === 'POST' && digest !== undefined) {
      release(quarantine, digest, ctx);
    } else {
      await next();
    }
  });
}
