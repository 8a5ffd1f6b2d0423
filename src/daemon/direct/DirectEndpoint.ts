/** Endpoint process beside an engine that callers reach directly: it serves the engine's rank. */
import { setTimeout as delay } from 'node:timers/promises';
import type { DocumentDialect, RankReport } from '../../protocol/index.js';
import { serveLinks, type Address } from '../../transport/index.js';
import { DaemonCoordinator } from '../DaemonCoordinator.js';
import { DaemonHubLink } from '../DaemonHubLink.js';
import { runEvery, type Runtime } from '../DaemonRuntime.js';
import type { ControlTarget } from '../DaemonSettings.js';
import { COORDINATOR_TICK_MS, DirectCoordinator } from './DirectCoordinator.js';
import { DirectGroupMembers } from './DirectGroupMembers.js';
import { DirectMapLimits } from './DirectMapLimits.js';
import { DirectRank, type EngineClient } from './DirectRank.js';
import { DirectRankPeers, type OpenEngine } from './DirectRankPeers.js';

/** Settings of the process. */
export interface DirectEndpointSettings {
  readonly id: string;
  readonly zone: string;
  /** Address of this process's links as others are told, and the one that it listens on. */
  readonly link: Address;
  readonly bind: Address;
  /** Service that the engine beside this process serves. */
  readonly service: string;
  /** Control processes that the settings name now. */
  readonly controls: () => readonly ControlTarget[];
}

/** Fleet under which the processes beside engines are announced; no request is routed to it. */
const RANK_FLEET = 'ranks';

/** Processes of a group that ask for its lease: one an AZ is enough for any of them to be lost. */
const MAX_CANDIDATES = 3;

/** How often the engine is asked for its group until it has one, ms. */
const GROUP_POLL_MS = 500;

/** How often the configuration is read by the coordinator; the engines' costs hardly change. ms. */
const CONFIG_INTERVAL_MS = 10_000;

const LEASE_TICK_MS = 100;

/** Asks the engine until it is part of a group. */
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

/** Runs an endpoint process until the signal. */
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
  const first = await findGroup(engine, signal);
  if (first === null) {
    return;
  }
  const { group, rank: own, ranks } = first;
  log.info({ event: 'rank', group, rank: own, ranks }, 'rank of a group');
  const members = new DirectGroupMembers();
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
    // The coordinator alone reads the configuration, and only now and then.
    onConfig: null,
    onDirectory: (delta) => members.apply(delta),
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
  const limits = new DirectMapLimits(cfg.service, documents);
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
  });
  runEvery(LEASE_TICK_MS, signal, () => {
    if (hubLink.isAttached) {
      lease.tick();
    }
    if (lease.lease.held !== null) {
      peers.follow(members.addresses);
    }
  });
  runEvery(COORDINATOR_TICK_MS, signal, () => coordinator.tick());
  let readAt = -Infinity;
  runEvery(GROUP_POLL_MS, signal, () => {
    const due = limits.value === null || runtime.now() - readAt > CONFIG_INTERVAL_MS;
    if (lease.lease.held !== null && hubLink.isAttached && due) {
      readAt = runtime.now();
      limits.read(hubLink).catch((err: unknown) => log.warn({ err }, 'configuration not read'));
    }
  });
}
