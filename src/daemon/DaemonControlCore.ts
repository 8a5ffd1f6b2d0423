/** A control process without its HTTP API: a replica of the log, and the hub that processes of its AZ attach to. */
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import { replicaName } from '../coordination/index.js';
import type { Manifest, MemberRecord, SubmitReply, RetryAllowance } from '../protocol/index.js';
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
import {
  DaemonDepartures,
  type DepartureReply,
  type DepartureRequest,
} from './DaemonDepartures.js';
import {
  DaemonEvacuations,
  type EvacuationLeaderReply,
  type EvacuationOrder,
  type EvacuationReply,
  type EvacuationRequest,
} from './DaemonEvacuations.js';
import { DaemonHub } from './DaemonHub.js';
import { leaveCluster } from './DaemonLeave.js';
import { callLeader, loggedNewestIndex } from './DaemonLeaderCalls.js';
import { DaemonQuarantineStore } from './DaemonQuarantineStore.js';
import { runEvery, type Runtime } from './DaemonRuntime.js';
import type { ControlTarget } from './DaemonSettings.js';
import { CoalescedRead } from './DaemonCoalescedRead.js';
import { SuspensionWatch } from './DaemonSuspension.js';
import { DaemonRetryGrants } from './DaemonRetryGrants.js';
import type { DaemonTestSwitch } from './DaemonTestSwitch.js';

const TICK_MS = 50;
const HUB_TICK_MS = 500;
const CLUSTER_CHECK_INTERVAL_MS = 500;
const SUSPECTS_SAVE_INTERVAL_MS = 100;

/** How often the list of control hosts is proven to be the newest, ms; reads for entry processes prove it too. */
const HOSTS_PROOF_INTERVAL_MS = 1_000;

/**
 * How often the leader checks whether a learner has caught up or a voter is gone, ms. Until a lost disk is replaced,
 * one loss fewer is tolerated; a check costs only some microseconds.
 */
const VOTER_CHECK_INTERVAL_MS = 100;

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
  /** Retries that all entry processes together may send; null where they aren't granted by control processes. */
  readonly retries: RetryAllowance | null;
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
  readonly evacuations: DaemonEvacuations;
  readonly departures: DaemonDepartures;
  readonly quarantineStore: DaemonQuarantineStore;
  readonly newest: CoalescedRead<number>;
  /** Null where control processes grant no retries. */
  readonly retryGrants: DaemonRetryGrants | null;
}

/** Reads the newest index of the log; a success also proves that the list of control hosts held here is the newest. */
async function readNewestIndex(cradle: Cradle): Promise<number> {
  const requestedAt = cradle.runtime.clocks();
  const index = await loggedNewestIndex(cradle);
  const { voters, learners } = cradle.consensus.state.members;
  cradle.retryGrants?.onHostsProven([...voters, ...learners].map(replicaName), requestedAt);
  return index;
}

async function evacuateAtLeader(
  cradle: Cradle,
  request: EvacuationRequest,
): Promise<EvacuationLeaderReply> {
  return callLeader(cradle, 'leader.evacuate', request, async () =>
    cradle.evacuations.decide(request),
  );
}

async function departAtLeader(
  cradle: Cradle,
  requests: readonly DepartureRequest[],
): Promise<DepartureReply> {
  return callLeader(cradle, 'leader.depart', requests, async () =>
    cradle.departures.decide(requests),
  );
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
          onFounded: () => container.cradle.retryGrants?.onFounded(),
          onHostUp: (name) => container.cradle.service.onHostUp(name),
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
    evacuations: asFunction(
      ({ consensus }: Cradle) =>
        new DaemonEvacuations({
          consensus,
          log: runtime.log,
          now: runtime.now,
          lossesBorne: cfg.lossesBorne,
          suspension: new SuspensionWatch(runtime.clocks, signal),
          readNewest: async () => container.cradle.newest.read(),
          callLeader: async (request) => evacuateAtLeader(container.cradle, request),
        }),
    ).singleton(),
    departures: asFunction(
      ({ consensus, hub }: Cradle) =>
        new DaemonDepartures({
          consensus,
          hub,
          log: runtime.log,
          now: runtime.now,
          lossesBorne: cfg.lossesBorne,
          callLeader: async (requests) => departAtLeader(container.cradle, requests),
        }),
    ).singleton(),
    quarantineStore: asFunction(
      ({ hub }: Cradle) =>
        new DaemonQuarantineStore({
          folder: cfg.dataFolder,
          quarantine: hub.quarantine,
          runtime,
        }),
    ).singleton(),
    newest: asFunction(
      () => new CoalescedRead(async () => readNewestIndex(container.cradle)),
    ).singleton(),
    retryGrants: asFunction(({ peers }: Cradle) =>
      cfg.retries === null
        ? null
        : new DaemonRetryGrants({
            self: cfg.id,
            runtime,
            allowance: cfg.retries,
            peers: () => peers.controls.map(({ name }) => name).filter((name) => name !== cfg.id),
            requestPeer: async (...args) => peers.request(...args),
          }),
    ).singleton(),
  });
  return container.cradle;
}

function leaderHandlers({ service, evacuations, departures, consensus }: Cradle): LinkHandlers {
  return {
    'leader.replace': async (params) => service.replace(params as ReplaceRequest),
    'leader.evacuate': async (params) => evacuations.decide(params as EvacuationRequest),
    'leader.depart': async (params) => departures.decide(params as readonly DepartureRequest[]),
    'leader.submit': async (params) => service.submit(params as Manifest),
    'leader.lease': async (params) => service.requestLease(params as LeaseRequest),
    'leader.leave': async (params) => service.leave((params as { replica: string }).replica),
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
  const { consensus, departures, hub, peers, service, runtime, signal } = cradle;
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
  runEvery(SUSPECTS_SAVE_INTERVAL_MS, signal, () => logFailure(cradle.quarantineStore.save()));
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
  runEvery(CLUSTER_CHECK_INTERVAL_MS, signal, () => {
    checkCluster();
    logFailure(departures.dropExpired());
    if (consensus.isFormed && cradle.retryGrants?.isProofOlderThan(HOSTS_PROOF_INTERVAL_MS)) {
      logFailure(cradle.newest.read().then(() => undefined));
    }
  });
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
  /** Begins or finishes the evacuation of a zone. */
  evacuate: (order: EvacuationOrder) => Promise<EvacuationReply>;
  /** Records that an endpoint is leaving or gone. */
  depart: (record: MemberRecord) => Promise<DepartureReply>;
  /** The newest configuration. Rejects if this process can't confirm which one that is. */
  readNewest: () => Promise<ConfigState>;
  /** Status of each reachable control process, this one first. */
  status: () => Promise<readonly ControlStatus[]>;
  /** Gives up this replica's vote where the quorum gets smaller; to be awaited before the process is stopped. */
  leave: () => Promise<void>;
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
  // Before any entry process attaches, which may send requests from then on.
  await cradle.quarantineStore.load();
  await serveLinks({
    address: cfg.bind,
    handlers: {
      ...peers.handlers,
      ...hub.handlers,
      ...leaderHandlers(cradle),
      ...forwardHandlers(cradle),
      ...cradle.retryGrants?.handlers,
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
    evacuate: async (order) => cradle.evacuations.order(order),
    depart: async (record) => cradle.departures.depart(record),
    readNewest: async () => {
      await cradle.newest.read();
      return consensus.control.config;
    },
    status: async () => [
      controlStatus(cfg.id, consensus, hub),
      ...((await peers.requestAll('control.status', {})) as readonly ControlStatus[]),
    ],
    leave: async () => leaveCluster(cradle),
  };
}
