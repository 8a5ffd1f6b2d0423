/** The administration API, used by the command-line tool and by pipelines. */
import type Koa from 'koa';
import type { Context } from 'koa';
import * as z from 'zod';
import {
  FindingsError,
  parseManifestQuickly,
  RequestError,
  type Manifest,
  type MemberRecord,
  type SubmitReply,
} from '../protocol/index.js';
import {
  diffEntries,
  digestManifest,
  entriesOfFleet,
  flattenManifest,
  checkSubmission,
  evacuationsOf,
} from '../state/index.js';
import { sendError } from './DaemonApp.js';
import type { DaemonBodies } from './DaemonBodies.js';
import type { DaemonConsensus } from './DaemonConsensus.js';
import type { UrgencyLevel } from './DaemonDemand.js';
import type { DaemonHub } from './DaemonHub.js';

/** Dependencies of the API. */
export interface AdminOptions {
  readonly name: string;
  readonly bodies: DaemonBodies;
  readonly consensus: DaemonConsensus;
  readonly hub: DaemonHub;
  readonly submit: (manifest: Manifest) => Promise<SubmitReply>;
  /** Status of each control process that answers, this one first. */
  readonly controls: () => Promise<readonly ControlStatus[]>;
}

/** The part of {@link AdminOptions} that the status needs. */
export type StatusOptions = Pick<AdminOptions, 'consensus' | 'hub' | 'controls'>;

/** Status that a control process reports about itself. */
export interface ControlStatus {
  readonly name: string;
  readonly replica: string;
  readonly role: string;
  readonly term: number;
  readonly leader: string | null;
  readonly commit: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  readonly rollout: string;
  readonly configIndex: number;
  readonly attached: readonly { readonly id: string; readonly appliedIndex: number }[];
}

/** Returns the status of this control process. */
export function controlStatus(
  name: string,
  consensus: DaemonConsensus,
  hub: DaemonHub,
): ControlStatus {
  const { state } = consensus;
  return {
    name,
    replica: state.id,
    role: state.role,
    term: state.term,
    leader: state.leader,
    commit: state.commit,
    voters: state.members.voters,
    learners: state.members.learners,
    rollout: hub.rollout.phase,
    configIndex: hub.rollout.config.index,
    attached: hub.attachedStatus,
  };
}

const HTTP_STATUS = { accepted: 200, conflict: 409, older: 409, unavailable: 503 } as const;

async function readManifest({ bodies }: AdminOptions, ctx: Context): Promise<Manifest> {
  const body = await bodies.read(ctx.req, ctx.res);
  return parseManifestQuickly(body.toString('utf8'));
}

async function getStatus({ controls, consensus, hub }: StatusOptions): Promise<unknown> {
  const all = await controls();
  const applied = new Map(
    all.flatMap(({ attached }) => attached.map(({ id, appliedIndex }) => [id, appliedIndex])),
  );
  const processes = [...hub.membership.directory.values()].map((record) => ({
    ...record,
    appliedIndex: applied.get(record.id) ?? null,
  }));
  const live = processes.filter(({ status }) => status !== 'gone');
  const { index, entries } = consensus.control.config;
  // Every control process is sent the loads of all groups.
  const urgencyLevels: readonly UrgencyLevel[] = hub.demand.levels;
  const cold = live.flatMap(({ id, zone, offer, statedColdMs }) =>
    offer !== undefined && statedColdMs !== undefined && statedColdMs > 0
      ? [{ id, zone, service: offer.service, statedMs: statedColdMs }]
      : [],
  );
  return {
    controls: all,
    processes,
    evacuations: evacuationsOf(entries),
    configIndex: index,
    inForce: live.filter(({ appliedIndex }) => (appliedIndex ?? -1) >= index).length,
    live: live.length,
    urgencyLevels,
    cold,
    fleets: Object.entries(consensus.control.fleets).map(([fleet, { version, digest }]) => ({
      fleet,
      version,
      digest,
    })),
  };
}

function isEndpoint({ role, status }: MemberRecord): boolean {
  return role === 'endpoint' && status !== 'gone';
}

function getEndpoints({ hub }: AdminOptions): unknown {
  return { endpoints: [...hub.membership.directory.values()].filter(isEndpoint) };
}

function getGroups({ hub, consensus }: AdminOptions): unknown {
  const groups = new Map<string, MemberRecord[]>();
  [...hub.membership.directory.values()].filter(isEndpoint).forEach((record) => {
    const name = record.offer?.group;
    if (name !== undefined) {
      groups.set(name, [...(groups.get(name) ?? []), record]);
    }
  });
  return {
    groups: [...groups].map(([name, records]) => ({
      name,
      fleet: records[0]?.offer?.fleet,
      service: records[0]?.offer?.service,
      endpoints: records.map(({ id, zone, offer }) => ({ id, zone, ranks: offer?.ranks ?? [] })),
      coordinator: consensus.control.leases[name]?.holder ?? null,
      token: consensus.control.leases[name]?.token ?? 0,
    })),
  };
}

function diffManifest({ consensus }: AdminOptions, manifest: Manifest): unknown {
  const { control } = consensus;
  const before = entriesOfFleet(control.config.entries, manifest.fleet);
  const digest = digestManifest(manifest);
  const judged = checkSubmission(control, manifest.fleet, manifest.version, digest);
  const { set, del } = diffEntries(before, flattenManifest(manifest));
  return {
    fleet: manifest.fleet,
    version: manifest.version,
    digest,
    verdict: judged === 'new' ? 'would be accepted' : judged,
    changes: [
      ...Object.entries(set).map(([key, value]) => ({
        key,
        change: Object.hasOwn(before, key) ? 'changed' : 'added',
        from: before[key] ?? null,
        to: value,
      })),
      ...del.map((key) => ({ key, change: 'removed', from: before[key] ?? null, to: null })),
    ],
  };
}

function showManifest({ consensus }: AdminOptions, fleet: string): unknown {
  const known = consensus.control.fleets[fleet];
  if (known === undefined) {
    return undefined;
  }
  const { version, digest } = known;
  return {
    fleet,
    version,
    digest,
    entries: entriesOfFleet(consensus.control.config.entries, fleet),
  };
}

type Route = (options: AdminOptions, ctx: Context) => Promise<unknown>;

const ROUTES: Readonly<Record<string, Route>> = {
  'GET /v1/status': async (options) => getStatus(options),
  'GET /v1/endpoints': async (options) => getEndpoints(options),
  'GET /v1/groups': async (options) => getGroups(options),
  'POST /v1/manifests/check': async (options, ctx) => {
    const manifest = await readManifest(options, ctx);
    return { fleet: manifest.fleet, version: manifest.version, digest: digestManifest(manifest) };
  },
  'POST /v1/manifests/diff': async (options, ctx) =>
    diffManifest(options, await readManifest(options, ctx)),
  'POST /v1/manifests': async (options, ctx) => {
    const reply = await options.submit(await readManifest(options, ctx));
    ctx.status = HTTP_STATUS[reply.result];
    if (reply.result === 'unavailable') {
      ctx.set('retry-after', '1');
    }
    return reply;
  },
};

const fleetPath = z.templateLiteral(['GET /v1/manifests/', z.string().min(1)]);

function findRoute(key: string): Route | undefined {
  const known = ROUTES[key];
  if (known === undefined && fleetPath.safeParse(key).success) {
    return async (options, ctx) => showManifest(options, ctx.path.slice('/v1/manifests/'.length));
  }
  return known;
}

/** Adds only the status to an application, where configurations don't come from manifests. */
export function addStatusApi(app: Koa, options: StatusOptions): void {
  app.use(async (ctx, next) => {
    if (ctx.method === 'GET' && ctx.path === '/v1/status') {
      ctx.body = await getStatus(options);
    } else {
      await next();
    }
  });
}

/** Adds the administration API to an application. Findings about a manifest are answered with status 422. */
export function addAdminApi(app: Koa, options: AdminOptions): void {
  app.use(async (ctx) => {
    const route = findRoute(`${ctx.method} ${ctx.path}`);
    if (route === undefined) {
      ctx.status = 404;
      ctx.body = { error: `no ${ctx.method} ${ctx.path}` };
      return;
    }
    try {
      ctx.status = 200;
      const body = await route(options, ctx);
      if (body === undefined) {
        ctx.status = 404;
      }
      ctx.body = body ?? { error: 'not found' };
    } catch (err) {
      if (err instanceof RequestError) {
        sendError(ctx, err);
        return;
      }
      if (!(err instanceof FindingsError)) {
        throw err;
      }
      ctx.status = 422;
      ctx.body = { error: err.message, findings: err.findings };
    }
  });
}
