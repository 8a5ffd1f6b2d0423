/** A control process without its HTTP API: a replica of the log, and the hub that processes of its AZ attach to. */
import { setTimeout as delay } from 'node:timers/promises';
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import { replicaName } from '../coordination/index.js';
import type { Manifest, SubmitReply } from '../protocol/index.js';
import { StateDataFolder, type ConfigState } from '../state/index.js';
import { serveLinks, type Address, type LinkHandlers } from '../transport/index.js';
import { controlStatus, type ControlStatus } from './DaemonAdmin.js';
import { DaemonConsensus } from './DaemonConsensus.js';
import { DaemonControlPeers } from './DaemonControlPeers.js';
import {
  DaemonControlService,
  type LeaseRequest,
  type LeaseReply,
  type ReplaceRequest,
} from './DaemonControlService.js';
import { DaemonHub } from './DaemonHub.js';
import { runEvery, type Runtime } from './DaemonRuntime.js';
import type { ControlTarget } from './DaemonSettings.js';
import { CoalescedRead } from './DaemonCoalescedRead.js';
import type { DaemonTestSwitch } from './DaemonTestSwitch.js';

const TICK_MS = 50;
const HUB_TICK_MS = 500;
const CLUSTER_CHECK_INTERVAL_MS = 500;

/**
 * How often the leader checks whether a learner has caught up or a voter is gone, ms. Until a lost disk is replaced,
 * one loss fewer is tolerated; a check costs only some microseconds.
 */
const VOTER_CHECK_INTERVAL_MS = 100;

/**
 * Timeout for a read of the newest index, ms: about a hundred round trips between AZs. If a read takes longer, the
 * leader counts as unreachable, and the caller should ask another control process.
 */
const READ_TIMEOUT_MS = 800;

/** How often a replica that is behind, or knows no leader, checks again, ms. */
const CATCH_UP_POLL_MS = 20;

/** How long a read waits for a leader to be known, ms: long enough for an election among running hosts. */
const LEADER_WAIT_MS = 400;

/** A read of the newest index that takes longer than this is logged, ms. */
const SLOW_READ_MS = 300;

/** How often a replica that has not confirmed that it is up to date asks the leader, ms. */
const CONFIRM_INTERVAL_MS = 50;

/** Settings and dependencies of a control process. */
export interface ControlCoreOptions {
  readonly id: string;
  readonly zone: string;
  /** Address under which other processes reach this one's links, and the address that it listens on. */
  readonly link: Address;
  readonly bind: Address;
  readonly dataFolder: string;
  readonly compactEvery: number;
  /** How many disks may be lost at the same time without losing anything accepted. */
  readonly lossesBorne: number;
  /** Names of the processes that found a cluster together; null if this process may only join one. */
  readonly founders: readonly string[] | null;
  /** Control processes known from the settings. */
  readonly targets: () => readonly ControlTarget[];
  /** Address of a control process that is named only in the log; undefined if its name doesn't determine one. */
  readonly locate: (name: string) => Address | undefined;
  readonly testSwitch: DaemonTestSwitch;
}

interface Cradle {
  readonly cfg: ControlCoreOptions;
  readonly runtime: Runtime;
  readonly signal: AbortSignal;
  readonly folder: StateDataFolder;
  readonly peers: DaemonControlPeers;
  readonly hub: DaemonHub;
  readonly consensus: DaemonConsensus;
  readonly service: DaemonControlService;
  readonly newest: CoalescedRead<number>;
}

/** Calls a method at the leader, which may be this replica. Rejects if no leader is known or it is unreachable. */
async function callLeader<T>(
  { consensus, peers }: Cradle,
  method: string,
  params: unknown,
  local: () => Promise<T>,
): Promise<T> {
  const { role, leader } = consensus.state;
  if (role === 'leader') {
    return local();
  }
  if (leader === null) {
    throw new Error('no leader');
  }
  return (await peers.request(replicaName(leader), method, params)) as T;
}

/**
 * Reads the newest log index from the leader, once a leader is known; rejects if none is known by `waitUntil`, ms on
 * the local monotonic clock.
 */
async function readIndexAtLeader(cradle: Cradle, waitUntil: number): Promise<number | null> {
  const { consensus, runtime } = cradle;
  const hasLeader = (): boolean =>
    consensus.state.role === 'leader' || consensus.state.leader !== null;
  while (!hasLeader() && runtime.now() < waitUntil) {
    // eslint-disable-next-line no-await-in-loop
    await delay(CATCH_UP_POLL_MS);
  }
  return callLeader<number | null>(cradle, 'leader.readIndex', {}, async () =>
    consensus.readIndex(),
  );
}

/**
 * Resolves with the index of the newest configuration once this replica has applied everything that was accepted
 * before. Rejects if no leader confirms that index, or this replica doesn't catch up in time.
 */
async function newestIndex(cradle: Cradle): Promise<number> {
  const { consensus, runtime } = cradle;
  const until = runtime.now() + READ_TIMEOUT_MS;
  const index = await Promise.race([
    readIndexAtLeader(cradle, runtime.now() + LEADER_WAIT_MS),
    delay(READ_TIMEOUT_MS, null, { ref: false }),
  ]);
  if (index === null) {
    throw new Error('no leader with a quorum answered');
  }
  while (consensus.control.index < index) {
    if (runtime.now() > until) {
      throw new Error('this replica is behind');
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(CATCH_UP_POLL_MS);
  }
  return consensus.control.config.index;
}

/** Reads the newest index like {@link newestIndex}; logs the read if it fails or is slow. */
async function loggedNewestIndex(cradle: Cradle): Promise<number> {
  const { consensus, runtime } = cradle;
  const startedAt = runtime.now();
  const write = (result: string): void => {
    const ms = Math.round(runtime.now() - startedAt);
    const { role, leader, term } = consensus.state;
    const { index } = consensus.control;
    runtime.log.info({ event: 'read', result, ms, role, leader, term, index }, 'read of the log');
  };
  try {
    const index = await newestIndex(cradle);
    if (runtime.now() - startedAt > SLOW_READ_MS) {
      write('slow');
    }
    return index;
  } catch (err) {
    write((err as Error).message);
    throw err;
  }
}

function compose(
  cfg: ControlCoreOptions,
  runtime: Runtime,
  folder: StateDataFolder,
  signal: AbortSignal,
): Cradle {
  const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY });
  container.register({
    cfg: asValue(cfg),
    runtime: asValue(runtime),
    signal: asValue(signal),
    folder: asValue(folder),
    peers: asFunction(
      () =>
        new DaemonControlPeers({
          self: cfg.id,
          zone: cfg.zone,
          address: cfg.link,
          founders: cfg.founders,
          targets: cfg.targets,
          locate: cfg.locate,
          now: runtime.now,
          consensus: () => container.cradle.consensus,
          hub: () => container.cradle.hub,
          log: runtime.log,
          signal,
          random: runtime.random,
          isCut: cfg.testSwitch.isCut,
        }),
    ).singleton(),
    hub: asFunction(
      ({ peers }: Cradle) =>
        new DaemonHub({
          zone: cfg.zone,
          log: runtime.log,
          now: runtime.now,
          publishMembers: (records) => peers.publishMembers(records),
          controls: () => peers.controls,
          publishLoad: (load) => peers.publishLoad(load),
          sendDemands: (name, demands) => peers.sendDemands(name, demands),
          publishUpdate: (topic, update) => peers.publishUpdate(topic, update),
        }),
    ).singleton(),
    consensus: asFunction(
      ({ peers, hub }: Cradle) =>
        new DaemonConsensus({
          folder,
          compactEvery: cfg.compactEvery,
          log: runtime.log,
          now: runtime.now,
          rng: runtime.rng,
          send: (to, message) => peers.send(to, message),
          heardAt: (replica) => peers.heardAt(replica),
          onStateChange: (state) => hub.onControlState(state),
        }),
    ).singleton(),
    service: asFunction(
      ({ consensus, hub, peers }: Cradle) =>
        new DaemonControlService({
          consensus,
          log: runtime.log,
          now: runtime.now,
          heardAt: (replica) => peers.heardAt(replica),
          lossesBorne: cfg.lossesBorne,
          recordOf: (id) => hub.membership.directory.get(id),
        }),
    ).singleton(),
    newest: asFunction(
      () => new CoalescedRead(async () => loggedNewestIndex(container.cradle)),
    ).singleton(),
  });
  return container.cradle;
}

function leaderHandlers({ service, consensus }: Cradle): LinkHandlers {
  return {
    'leader.replace': async (params) => service.replace(params as ReplaceRequest),
    'leader.submit': async (params) => service.submit(params as Manifest),
    'leader.lease': async (params) => service.requestLease(params as LeaseRequest),
    'leader.join': async (params) => service.join((params as { replica: string }).replica),
    'leader.readIndex': async () => consensus.readIndex(),
  };
}

async function submitViaLeader(cradle: Cradle, manifest: Manifest): Promise<SubmitReply> {
  try {
    return await callLeader(cradle, 'leader.submit', manifest, async () =>
      cradle.service.submit(manifest),
    );
  } catch (err) {
    const reason = `${(err as Error).message}; submit again to learn the outcome`;
    return { result: 'unavailable', reason };
  }
}

function forwardHandlers(cradle: Cradle): LinkHandlers {
  const { cfg, service, consensus, hub } = cradle;
  return {
    'lease.ask': async (params): Promise<LeaseReply> => {
      const leaseRequest = params as LeaseRequest;
      return callLeader(cradle, 'leader.lease', leaseRequest, async () =>
        service.requestLease(leaseRequest),
      ).catch((): LeaseReply => ({ result: 'failed' }));
    },
    'config.newest': async () => cradle.newest.read(),
    'control.join': async (params) => {
      const { replica } = params as { replica: string };
      return callLeader(cradle, 'leader.join', params, async () => service.join(replica));
    },
    'control.status': () => controlStatus(cfg.id, consensus, hub),
  };
}

/**
 * Asks the leader whether this replica has applied everything that was accepted, and if so reports that to the hub.
 */
async function confirmUpToDate(cradle: Cradle): Promise<void> {
  const { consensus, hub } = cradle;
  if (hub.rollout.phase === 'checked') {
    return;
  }
  const index = await callLeader<number | null>(cradle, 'leader.readIndex', {}, async () =>
    consensus.readIndex(),
  );
  if (index !== null && consensus.control.index >= index) {
    hub.onControlState(consensus.control);
    hub.onConfirmed();
  }
}

function runTasks(cradle: Cradle): void {
  const { consensus, hub, peers, service, runtime, signal } = cradle;
  const logFailure = (task: Promise<void>): void => {
    task.catch((err: unknown) =>
      runtime.log.debug(
        { err: (err as Error).message },
        'periodic task failed; retrying at its next interval',
      ),
    );
  };
  hub.onControlState(consensus.control);
  runEvery(TICK_MS, signal, () => {
    if (consensus.isFormed) {
      consensus.post({ type: 'tick' });
    }
    consensus.expire();
  });
  runEvery(HUB_TICK_MS, signal, () => hub.tick());
  let confirming = false;
  runEvery(CONFIRM_INTERVAL_MS, signal, () => {
    if (!confirming) {
      confirming = true;
      logFailure(
        confirmUpToDate(cradle).finally(() => {
          confirming = false;
        }),
      );
    }
  });
  const checkCluster = (): void => logFailure(peers.formOrJoinCluster());
  // At once too: after a power loss, the votes of members that only the log names are needed for a leader.
  checkCluster();
  runEvery(CLUSTER_CHECK_INTERVAL_MS, signal, checkCluster);
  runEvery(VOTER_CHECK_INTERVAL_MS, signal, () => {
    logFailure(service.updateVoters());
  });
}

/** Interface of a control process for its HTTP API. */
export interface ControlCore {
  readonly replica: string;
  readonly consensus: DaemonConsensus;
  readonly hub: DaemonHub;
  submit: (manifest: Manifest) => Promise<SubmitReply>;
  /** Replaces a fleet's configuration by a document. */
  replace: (request: ReplaceRequest) => Promise<SubmitReply>;
  /** The newest configuration. Rejects if this process can't confirm which one that is. */
  readNewest: () => Promise<ConfigState>;
  /** Status of each reachable control process, this one first. */
  status: () => Promise<readonly ControlStatus[]>;
}

function replaceViaLeader(cradle: Cradle): ControlCore['replace'] {
  return async (replacement) => {
    try {
      return await callLeader(cradle, 'leader.replace', replacement, async () =>
        cradle.service.replace(replacement),
      );
    } catch (err) {
      return { result: 'unavailable', reason: (err as Error).message };
    }
  };
}

/** Starts a control process, which stops when the signal aborts. */
export async function startControlCore(
  cfg: ControlCoreOptions,
  runtime: Runtime,
  signal: AbortSignal,
): Promise<ControlCore> {
  const folder = await StateDataFolder.open(cfg.dataFolder, cfg.id);
  const cradle = compose(cfg, runtime, folder, signal);
  const { consensus, hub, peers } = cradle;
  await serveLinks({
    address: cfg.bind,
    handlers: {
      ...peers.handlers,
      ...hub.handlers,
      ...leaderHandlers(cradle),
      ...forwardHandlers(cradle),
    },
    signal,
    isCut: cfg.testSwitch.isCut,
    onClosed: (link) => hub.onClosed(link),
  });
  runTasks(cradle);
  return {
    replica: folder.identity.replica,
    consensus,
    hub,
    submit: async (manifest) => submitViaLeader(cradle, manifest),
    replace: replaceViaLeader(cradle),
    readNewest: async () => {
      await cradle.newest.read();
      return consensus.control.config;
    },
    status: async () => [
      controlStatus(cfg.id, consensus, hub),
      ...((await peers.requestAll('control.status', {})) as readonly ControlStatus[]),
    ],
  };
}
