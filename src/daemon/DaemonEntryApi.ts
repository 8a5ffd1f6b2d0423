/** The callers' HTTP API: completions, plain services by path, and errors. */
import type { IncomingMessage } from 'node:http';
import type Koa from 'koa';
import type { Context } from 'koa';
import * as z from 'zod';
import type { Agent } from 'undici';
import { hashText, serviceKey } from '../coordination/index.js';
import { CALLER_HEADERS, parseJson, RequestError } from '../protocol/index.js';
import type { FleetService } from '../state/index.js';
import { headerOf } from '../transport/index.js';
import { DaemonEntryCall, type CallSpec } from './DaemonEntryCall.js';
import type { DaemonEntryState } from './DaemonEntryState.js';
import type { DaemonHubLink } from './DaemonHubLink.js';
import { sendError } from './DaemonApp.js';
import type { DaemonBodies } from './DaemonBodies.js';
import type { Runtime } from './DaemonRuntime.js';

/** How many leading characters of a prompt decide which endpoint may hold its prefix. */
const PREFIX_CHARS = 256;

/** Dependencies of the API. */
export interface CallerApiOptions {
  readonly id: string;
  readonly runtime: Runtime;
  readonly bodies: DaemonBodies;
  readonly state: DaemonEntryState;
  readonly agent: Agent;
  readonly hubLink: DaemonHubLink;
}

const completionSchema = z.looseObject({
  model: z.string(),
  stream: z.boolean().default(false),
  prompt: z.union([z.string(), z.array(z.unknown())]).optional(),
  messages: z.array(z.unknown()).optional(),
});

const COMPLETION_PATHS = new Set(['/v1/completions', '/v1/chat/completions']);

interface Target {
  readonly service: FleetService;
  readonly prefix: number | null;
  readonly streamed: boolean;
}

function parseCompletion(body: Buffer): z.infer<typeof completionSchema> {
  let json: unknown;
  try {
    json = parseJson(body.toString('utf8'));
  } catch (err) {
    throw new RequestError('bad_request', `body: ${(err as Error).message}`);
  }
  const parsed = completionSchema.safeParse(json);
  if (!parsed.success) {
    const findings = parsed.error.issues.map(
      (issue) => `body.${issue.path.join('.')}: ${issue.message}`,
    );
    throw new RequestError('bad_request', findings.join('; '));
  }
  return parsed.data;
}

function findModelTarget(state: DaemonEntryState, body: Buffer): Target {
  const { model, stream, prompt, messages } = parseCompletion(body);
  const service = state.config.byModel.get(model);
  if (service === undefined) {
    throw new RequestError('unknown_model', `no service for model "${model}"`);
  }
  const text = typeof prompt === 'string' ? prompt : JSON.stringify(messages ?? prompt ?? '');
  return { service, prefix: hashText(text.slice(0, PREFIX_CHARS)), streamed: stream };
}

function findPlainTarget(state: DaemonEntryState, path: string): Target {
  const found = state.config.byPath.find(
    ([prefix]) => path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`),
  );
  if (found === undefined) {
    throw new RequestError('unknown_path', `no service at ${path}`);
  }
  return { service: found[1], prefix: null, streamed: false };
}

/** Time limit of a request, ms: the caller's, at most the service's; the service's if the caller sets none. */
function readDeadline(req: IncomingMessage, serviceMs: number): number {
  const text = headerOf(req, CALLER_HEADERS.deadline);
  if (text === undefined) {
    return serviceMs;
  }
  const ms = Number(text);
  if (!Number.isInteger(ms) || ms < 1) {
    throw new RequestError('bad_request', `${CALLER_HEADERS.deadline}: not a number of ms`);
  }
  return Math.min(ms, serviceMs);
}

/**
 * Whether a request may be repeated. A caller can forbid repetition where its service allows it, but can't allow it
 * where the service forbids it.
 */
function readRepeatable(req: IncomingMessage, service: FleetService): boolean {
  const text = headerOf(req, CALLER_HEADERS.repeatable);
  if (text !== undefined && text !== 'true' && text !== 'false') {
    throw new RequestError('bad_request', `${CALLER_HEADERS.repeatable}: neither true nor false`);
  }
  return service.service.repeatable && text !== 'false';
}

/** Rejects requests with `Idempotency-Key`: honoring it would require that a quorum records the keys in use. */
function refuseIdempotencyKey(req: IncomingMessage): void {
  if (headerOf(req, CALLER_HEADERS.key) !== undefined) {
    throw new RequestError('key_unsupported', `${CALLER_HEADERS.key} is not supported yet`);
  }
}

async function readCall(ctx: Context, options: CallerApiOptions): Promise<CallSpec> {
  const { bodies, state, runtime } = options;
  const { req } = ctx;
  if (!state.isReady) {
    throw new RequestError('not_ready', state.readiness);
  }
  refuseIdempotencyKey(req);
  const customer = state.customer(headerOf(req, CALLER_HEADERS.customer));
  const body = await bodies.read(req, ctx.res);
  const isCompletion = ctx.method === 'POST' && COMPLETION_PATHS.has(ctx.path);
  const { service, prefix, streamed } = isCompletion
    ? findModelTarget(state, body)
    : findPlainTarget(state, ctx.path);
  const deadlineMs = readDeadline(req, service.service.deadlineMs);
  return {
    customer,
    service: serviceKey(service.fleet, service.service.name),
    prefix,
    streamed,
    repeatable: readRepeatable(req, service),
    deadline: runtime.now() + deadlineMs,
    method: ctx.method,
    path: ctx.url,
    contentType: headerOf(req, 'content-type') ?? 'application/json',
    body,
  };
}

/** Adds the callers' API to an application. */
export function addCallerApi(app: Koa, options: CallerApiOptions): void {
  const { id, runtime, state, hubLink } = options;
  let counter = 0;
  app.use(async (ctx) => {
    counter += 1;
    const request = `${id}.${hubLink.record.incarnation.toString(36)}.${counter}`;
    ctx.set('x-request-id', request);
    try {
      const spec = await readCall(ctx, options);
      state.admit(spec.customer, spec.service);
      await new DaemonEntryCall(options, request, spec, ctx).run();
    } catch (err) {
      if (!(err instanceof RequestError)) {
        runtime.log.error({ err, request }, 'request failed');
      }
      sendError(ctx, err, request);
    }
  });
}
