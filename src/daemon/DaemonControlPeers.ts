/** Links from a control process to the others, and how a cluster is formed over them. */
import type { Logger } from 'pino';
import {
  replicaName,
  type ConsensusMessage,
  type ConsensusState,
  type ReplicaContact,
} from '../coordination/index.js';
import type {
  ControlAddress,
  DirectoryDelta,
  GroupDemand,
  GroupLoad,
  MemberRecord,
} from '../protocol/index.js';
import {
  TransportLinkClient,
  type Address,
  type LinkHandlers,
  type LinkSwitch,
  type TransportLink,
} from '../transport/index.js';
import type { DaemonConsensus } from './DaemonConsensus.js';
import type { DaemonHub, SharedUpdate, SharedTopic } from './DaemonHub.js';
import type { ControlTarget } from './DaemonSettings.js';

/** Identity of a control process. `formed` tells whether its replica belongs to a cluster. */
export interface PeerIdentity {
  readonly name: string;
  readonly replica: string;
  readonly formed: boolean;
  readonly zone: string;
}

/**
 * A replica that has heard from no leader for this long asks to be admitted again; also the interval of the log lines
 * about peers that can't be reached. In ms.
 */
const LEADERLESS_MS = 3_000;

/** Dependencies of {@link DaemonControlPeers}. */
export interface ControlPeersOptions {
  readonly self: string;
  readonly zone: string;
  /** Address at which this process accepts links. */
  readonly address: Address;
  /** Names of the processes that found a cluster together; null if this process may only join one. */
  readonly founders: readonly string[] | null;
  /** Control processes known from the settings. */
  readonly targets: () => readonly ControlTarget[];
  /** Address of a control process that is named only in the log; undefined if its name doesn't determine one. */
  readonly locate: (name: string) => Address | undefined;
  readonly now: () => number;
  readonly consensus: () => DaemonConsensus;
  readonly hub: () => DaemonHub;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly random: () => number;
  readonly isCut: LinkSwitch;
  /** Called before this process becomes a founder of the cluster. */
  readonly onFounded: () => void;
  /** Called when the process of a host has opened a link to this one. */
  readonly onHostUp: (name: string) => void;
}

interface RaftParams {
  readonly to: string;
  readonly from: string;
  readonly message: ConsensusMessage;
}

/** The links to the other control processes. */
export class DaemonControlPeers {
  readonly #options: ControlPeersOptions;

  readonly #clients = new Map<string, TransportLinkClient>();

  /** Abort controllers that stop the client of a peer, by its name. */
  readonly #stopControllers = new Map<string, AbortController>();

  /** Addresses of peers that have sent `control.hello`, by name. */
  readonly #peerAddresses = new Map<string, ControlAddress>();

  /** Open links on which peers have sent `control.hello`, by name. */
  readonly #helloLinks = new Map<string, TransportLink>();

  #leaderlessLoggedAt = -Infinity;

  #unknownPeerLoggedAt = -Infinity;

  constructor(options: ControlPeersOptions) {
    this.#options = options;
    options.targets().forEach((target) => this.#connect(target));
  }

  /** Control processes known here, this one first. */
  get controls(): readonly ControlAddress[] {
    const { self, zone, address } = this.#options;
    return [{ name: self, zone, address }, ...this.#peerAddresses.values()];
  }

  /** Link methods that the other control processes call. */
  get handlers(): LinkHandlers {
    const { consensus, hub } = this.#options;
    return {
      'control.hello': (params, link) => {
        const { from, self } = params as { from: string; self: ControlAddress };
        // eslint-disable-next-line no-param-reassign
        link.peer = from;
        this.#peerAddresses.set(from, self);
        this.#trackHelloLink(from, link);
        this.#connect(self);
        this.#options.onHostUp(from);
        hub().onControlsChanged();
      },
      raft: (params) => {
        const { to, from, message } = params as RaftParams;
        // A message for another replica id was meant for the one that this host had before it lost its disk, so it is
        // ignored.
        if (to === consensus().state.id) {
          consensus().post({ type: 'message', from, message });
        }
      },
      'control.identity': () => this.identity,
      'control.found': async (params) =>
        this.#foundCluster(params as { voters: readonly string[] }),
      'control.load': (params, link) => hub().onPeerLoad(params as GroupLoad, link.peer),
      'control.demand': (params) => hub().demand.onPeerDemands(params),
      'control.quarantine': (params) => this.#onUpdate('quarantine', params),
      'control.limits': (params) => this.#onUpdate('limits', params),
      'control.directory': (params) => {
        const { from, ...delta } = params as DirectoryDelta & { from: string };
        hub().onPeerDirectory(from, delta);
      },
    };
  }

  #trackHelloLink(from: string, link: TransportLink): void {
    this.#helloLinks.set(from, link);
    link.closed
      .then(() => {
        if (this.#helloLinks.get(from) === link) {
          this.#helloLinks.delete(from);
        }
      })
      .catch(() => undefined);
  }

  get identity(): PeerIdentity {
    const consensus = this.#options.consensus();
    const { self, zone } = this.#options;
    return { name: self, replica: consensus.state.id, formed: consensus.isFormed, zone };
  }

  /** Sends a consensus message to a replica; it may be lost. */
  send(to: string, message: ConsensusMessage): void {
    const client = this.#clients.get(replicaName(to));
    if (client === undefined) {
      this.#logUnknownPeer(to);
      return;
    }
    const from = this.#options.consensus().state.id;
    client.notify('raft', { to, from, message } satisfies RaftParams);
  }

  /** Logs at most every LEADERLESS_MS that a message can't be sent, as the address of the replica's host is unknown. */
  #logUnknownPeer(to: string): void {
    const now = this.#options.now();
    if (now - this.#unknownPeerLoggedAt >= LEADERLESS_MS) {
      this.#unknownPeerLoggedAt = now;
      this.#options.log.warn({ event: 'unknown_peer', to }, 'no way to a replica is known');
    }
  }

  /** Contact with a replica's host over the link to it; undefined if there is no client for it. */
  heardAt(replica: string): ReplicaContact | undefined {
    const client = this.#clients.get(replicaName(replica));
    return client && { at: client.lastReceivedAt, heard: client.hasReceived };
  }

  /** Sends changed member records to all peers. */
  publishMembers(records: readonly MemberRecord[]): void {
    const delta = this.#directoryDelta(false, records);
    this.#clients.forEach((client) => client.notify('control.directory', delta));
  }

  /** Sends the load of a group to all peers. */
  publishLoad(load: GroupLoad): void {
    this.#clients.forEach((client) => client.notify('control.load', load));
  }

  /** Sends the demand for groups to one peer. */
  sendDemands(name: string, demands: readonly GroupDemand[]): void {
    this.#clients.get(name)?.notify('control.demand', demands);
  }

  /** Sends an update of a shared set to all peers. */
  publishUpdate(topic: SharedTopic, update: SharedUpdate): void {
    this.#clients.forEach((_client, name) => this.#sendUpdate(name, topic, update));
  }

  #sendUpdate(to: string, topic: SharedTopic, update: SharedUpdate): void {
    this.#clients.get(to)?.notify(`control.${topic}`, { from: this.#options.self, ...update });
  }

  #onUpdate(topic: SharedTopic, params: unknown): void {
    const { from, ...update } = params as SharedUpdate & { from: string };
    this.#options
      .hub()
      .onSharedUpdate(topic, update, from, (reply) => this.#sendUpdate(from, topic, reply));
  }

  /** Calls a method at the control process of that name. Rejects if it is unknown or unreachable. */
  async request(
    name: string,
    method: string,
    params: unknown,
    timeoutMs?: number,
  ): Promise<unknown> {
    const client = this.#clients.get(name);
    if (client === undefined) {
      throw new Error(`no control process "${name}"`);
    }
    return client.request(method, params, timeoutMs);
  }

  /** Calls a method at all peers; returns the results of those that answer within a second. */
  async requestAll(method: string, params: unknown): Promise<readonly unknown[]> {
    const settled = await Promise.allSettled(
      [...this.#clients.values()].map(async (client) => client.request(method, params, 1_000)),
    );
    return settled.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []));
  }

  /**
   * Founds a cluster, or joins an existing one.
   *
   * A replica with an empty folder can't distinguish a first start from a lost disk. If it founded a second cluster
   * beside the first, accepted configurations would be forgotten. So a cluster is founded only if every configured
   * founder answers that it belongs to none.
   */
  async formOrJoinCluster(): Promise<void> {
    this.#updateLinks();
    const { self, founders, consensus, log } = this.#options;
    if (consensus().isFormed) {
      await this.#rejoin();
      return;
    }
    const peers = (await this.requestAll('control.identity', {})) as readonly PeerIdentity[];
    const formed = peers.find((peer) => peer.formed);
    if (formed !== undefined) {
      const { replica } = this.identity;
      await this.request(formed.name, 'control.join', { replica });
      return;
    }
    const names = [...(founders ?? [])].sort();
    const others = peers.filter(({ name }) => names.includes(name));
    if (names[0] === self && others.length === names.length - 1) {
      const voters = [this.identity.replica, ...others.map(({ replica }) => replica)];
      await this.#foundCluster({ voters });
      await this.requestAll('control.found', { voters });
      log.info({ event: 'found', voters }, 'cluster founded');
    }
  }

  /**
   * Asks to be admitted again if there is no leader.
   *
   * A replica that was replaced while it was unreachable returns with its old log, and would wait forever for a
   * leader that no longer sends to it. The others admit it as a learner, or find that it is a member and change
   * nothing.
   */
  async #rejoin(): Promise<void> {
    const { state } = this.#options.consensus();
    const isMember = [...state.members.voters, ...state.members.learners].includes(state.id);
    const hasHeardLeader = this.#options.now() - state.heardAt < LEADERLESS_MS;
    if (state.role === 'leader' || (isMember && hasHeardLeader)) {
      return;
    }
    this.#logLeaderless(state);
    await this.requestAll('control.join', { replica: state.id });
  }

  /**
   * Logs at most every LEADERLESS_MS why this replica has no leader: whose votes it got, and which peers it reaches.
   */
  #logLeaderless({ role, term, votes, members }: ConsensusState): void {
    const now = this.#options.now();
    if (now - this.#leaderlessLoggedAt < LEADERLESS_MS) {
      return;
    }
    this.#leaderlessLoggedAt = now;
    const reached = [...this.#clients].flatMap(([name, { link }]) => (link === null ? [] : [name]));
    this.#options.log.warn(
      { event: 'leaderless', role, term, votes, reached, ...members },
      'no leader is heard',
    );
  }

  /**
   * Opens a link to each configured process and each member of the cluster; drops the clients of other hosts once there
   * is no link in either direction. A replica with an empty log knows no members, so the link from a leader is all that
   * tells it where to reply.
   */
  #updateLinks(): void {
    const { consensus, locate, self } = this.#options;
    const targets = this.#options.targets();
    targets.forEach((target) => this.#connect(target));
    const { voters, learners } = consensus().state.members;
    const members = [...voters, ...learners].map(replicaName);
    members.forEach((name) => {
      const address = locate(name);
      if (address !== undefined) {
        this.#connect({ name, address });
      }
    });
    const named = targets.map(({ name }) => name);
    const kept = new Set([...members, ...named, ...this.#helloLinks.keys(), self]);
    [...this.#clients].forEach(([name, client]) => {
      if (!kept.has(name) && client.link === null) {
        this.#stopControllers.get(name)?.abort();
        this.#clients.delete(name);
        this.#peerAddresses.delete(name);
      }
    });
  }

  #connect({ name, address }: ControlTarget): void {
    const { self, signal, isCut, random, hub } = this.#options;
    if (name === self || this.#clients.has(name)) {
      return;
    }
    const stop = new AbortController();
    const client = new TransportLinkClient({
      targets: () => [{ name, address }],
      handlers: {},
      signal: AbortSignal.any([signal, stop.signal]),
      isCut,
      jitter: random,
      onUp: async (link) => {
        link.notify('control.hello', { from: self, self: this.controls[0] });
        // Updates may have been missed while there was no link, so the peer gets all records of processes attached
        // here.
        const { attached } = hub();
        link.notify('control.directory', this.#directoryDelta(true, attached));
        hub().sendSharedSets((topic, update) =>
          link.notify(`control.${topic}`, { from: self, ...update }),
        );
      },
    });
    this.#stopControllers.set(name, stop);
    this.#clients.set(name, client);
  }

  async #foundCluster({ voters }: { readonly voters: readonly string[] }): Promise<boolean> {
    const consensus = this.#options.consensus();
    if (consensus.isFormed || !voters.includes(consensus.state.id)) {
      return false;
    }
    this.#options.onFounded();
    await consensus.foundCluster({ voters, learners: [] });
    return true;
  }

  #directoryDelta(
    full: boolean,
    records: readonly MemberRecord[],
  ): DirectoryDelta & { from: string } {
    return { full, records, from: this.#options.self };
  }
}
