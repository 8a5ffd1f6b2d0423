/** The part of the administration API that lists, begins and finishes evacuations of availability zones. */
import type Koa from 'koa';
import type { Context } from 'koa';
import { evacuationsOf } from '../state/index.js';
import type { ControlCore } from './DaemonControlCore.js';

const LIST_PATH = '/v1/evacuations';

const ORDER_PATH = /^\/v1\/evacuations\/([^/]+)\/(begin|finish)$/;

/** Seconds after which the client of an order that wasn't decided should send it again. */
const RETRY_AFTER_S = '1';

/** Dependencies of the API. */
export interface EvacuationApiOptions {
  readonly core: Pick<ControlCore, 'consensus' | 'evacuate'>;
  /** Names of the known zones. */
  readonly zones: () => readonly string[];
}

/** Message about a zone that isn't known; null if it is. */
export function unknownZoneMessage(zone: string, zones: readonly string[]): string | null {
  return zones.includes(zone)
    ? null
    : `no zone "${zone}"; known zones: ${zones.join(', ') || 'none'}`;
}

function decode(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

async function handleOrder(
  { core, zones }: EvacuationApiOptions,
  ctx: Context,
  zone: string,
  verb: string,
): Promise<void> {
  const error = unknownZoneMessage(zone, zones());
  if (error !== null) {
    ctx.status = 400;
    ctx.body = { error };
    return;
  }
  const reply = await core.evacuate({ zone, evacuated: verb === 'begin' });
  ctx.status = reply.result === 'accepted' ? 200 : 503;
  if (reply.result === 'unavailable') {
    ctx.set('retry-after', RETRY_AFTER_S);
  }
  ctx.body = reply;
}

/** Adds the evacuation API to an application; all other calls go on to the next handler. */
export function addEvacuationApi(app: Koa, options: EvacuationApiOptions): void {
  app.use(async (ctx, next) => {
    const [, zone, verb] = ORDER_PATH.exec(ctx.path) ?? [];
    if (ctx.method === 'GET' && ctx.path === LIST_PATH) {
      ctx.body = { evacuations: evacuationsOf(options.core.consensus.control.config.entries) };
    } else if (ctx.method === 'POST' && zone !== undefined && verb !== undefined) {
      await handleOrder(options, ctx, decode(zone), verb);
    } else {
      await next();
    }
  });
}
