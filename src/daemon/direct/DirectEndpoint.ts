/**
 * Sidecar process of an engine that entry processes call directly: serves the engine's rank, and may coordinate its
 * group.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { DocumentDialect, RankReport } from '../../protocol/index.js';
import { serveLinks, type Address } from '../../transport/index.js';
import { DaemonCoordinator } from '../DaemonCoordinator.js';
import { DaemonHubLink } from '../DaemonHubLink.js';
import { runEvery, type Runtime } from '../DaemonRuntime.js';
import type { ControlTarget } from '../DaemonSettings.js';
import { COORDINATOR_TICK_MS, DirectCoordinator } from './DirectCoordinator.js';
import { DirectDemand } from './DirectDemand.js';
import { DirectGroupMembers } from './DirectGroupMembers.js';
import { DirectMapLimits } from './DirectMapLimits.js';
import { DirectRank, type EngineClient } from './DirectRank.js';
import { DirectRankPeers, type OpenEngine } from './DirectRankPeers.js';

/** Settings of the process. */
export interface DirectEndpointSettings {
  readonly id: string;
  readonly zone: string;
  /** Link address that is announced to others, and the one to listen on. */
  readonly link: Address;
  readonly bind: Address;
  /** Service of the engine. */
  readonly service: string;
  /** Control processes in the current settings. */
  readonly controls: () => readonly ControlTarget[];
}

/** Fleet under which sidecars are announced; no request is routed to it. */
const RANK_FLEET = 'ranks';

/**
 * Maximum number of sidecars that request the lease of their group: with one per availability zone, any of them may
 * be lost.
 */
const MAX_CANDIDATES = 3;

/** Interval, ms, of polling the engine until it has a group, and of checking whether to read the configuration. */
const GROUP_POLL_MS = 500;

/** Interval of reading the configuration as coordinator, ms; the engines' costs rarely change. */
const CONFIG_INTERVAL_MS = 10_000;

const LEASE_TICK_MS = 100;

/** Polls the engine until it is part of a group; null once the signal is aborted. */
async function findGroup(
  engine: EngineClient,
  signal: AbortSignal,
): Promise<(RankReport & { readonly group: string }) | null> {
  while (!signal.aborted) {
    // eslint-disable-next-line no-await-in-loop
    const report = await engine.report().catch(() => null);
    if (report !== null && report.group !== null) {
      return { ...report, group: report.group };
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(GROUP_POLL_MS, undefined, { signal }).catch(() => undefined);
  }
  return null;
}

/** Starts the sidecar process; its links and timers run until the signal is aborted. */
export async function runDirectEndpoint(
  cfg: DirectEndpointSettings,
  engine: EngineClient,
  openEngine: OpenEngine,
  documents: DocumentDialect,
  runtime: Runtime,
  signal: AbortSignal,
): Promise<void> {
  const { log } = runtime;
  const rank = new DirectRank(engine, log);
  await serveLinks({ address: cfg.bind, handlers: rank.handlers, signal });
  const firstReport = await findGroup(engine, signal);
  if (firstReport === null) {
    return;
  }
  const { group, rank: own, ranks } = firstReport;
  log.info({ event: 'rank', group, rank: own, ranks }, 'engine is a rank of a group');
  const members = new DirectGroupMembers();
  const limits = new DirectMapLimits(cfg.service, documents);
  const demand = new DirectDemand({ group, runtime, costs: () => limits.costs });
  const peers = new DirectRankPeers(own, rank, signal, runtime, openEngine);
  const hubLink = new DaemonHubLink({
    targets: cfg.controls,
    record: {
      id: cfg.id,
      role: 'endpoint',
      zone: cfg.zone,
      address: `${cfg.link.host}:${cfg.link.port}`,
      incarnation: runtime.incarnation,
      version: 0,
      status: 'serving',
      offer: { fleet: RANK_FLEET, service: cfg.service, slots: 1, group, ranks: [own] },
    },
    log,
    signal,
    random: runtime.random,
    // No subscription: only a coordinator needs the configuration, and reads it at an interval.
    onConfig: null,
    onDirectory: (delta) => members.apply(delta),
    onDemands: (demands) => demand.onDemands(demands),
  });
  const isCandidate = (n: number): boolean => n % Math.ceil(ranks / MAX_CANDIDATES) === 0;
  if (!isCandidate(own)) {
    return;
  }
  const lease = new DaemonCoordinator({
    group,
    hubLink,
    log,
    now: runtime.now,
  });
  const coordinator = new DirectCoordinator({
    group,
    ranks,
    own,
    lease,
    peers,
    runtime,
    mapLimits: () => limits.value,
    isCandidate,
    forecastSince: (token) => rank.newerForecast(token),
    publish: (load) => hubLink.notify('group.load', load),
    grants: (usage) => demand.grants(usage),
  });
  runEvery(LEASE_TICK_MS, signal, () => {
    if (hubLink.isAttached) {
      lease.tick();
    }
    if (lease.lease.held !== null) {
      peers.updateLinks(members.addresses);
    }
  });
  runEvery(COORDINATOR_TICK_MS, signal, () => coordinator.tick());
  let readAt = -Infinity;
  runEvery(GROUP_POLL_MS, signal, () => {
    const isDue = limits.value === null || runtime.now() - readAt > CONFIG_INTERVAL_MS;
    if (lease.lease.held !== null && hubLink.isAttached && isDue) {
      readAt = runtime.now();
      limits
        .read(hubLink)
        .catch((err: unknown) => log.warn({ err }, 'could not read the configuration'));
    }
  });
}
