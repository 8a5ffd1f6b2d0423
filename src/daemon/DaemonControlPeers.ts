/** Links of a control process to the others, and the forming of a cluster over them. */
import type { Logger } from 'pino';
import { replicaName, type ConsensusMessage, type ConsensusState } from '../coordination/index.js';
import type { ControlAddress, DirectoryDelta, GroupLoad, MemberRecord } from '../protocol/index.js';
import {
  TransportLinkClient,
  type Address,
  type LinkHandlers,
  type LinkSwitch,
} from '../transport/index.js';
import type { DaemonConsensus } from './DaemonConsensus.js';
import type { DaemonHub, SharedUpdate, SharedTopic } from './DaemonHub.js';
import type { ControlTarget } from './DaemonSettings.js';

/** Who a control process is. */
export interface PeerIdentity {
  readonly name: string;
  readonly replica: string;
  readonly formed: boolean;
  readonly zone: string;
}

/** A replica that has heard no leader for this long asks whether it still is a member. In ms. */
const LEADERLESS_MS = 3_000;

/** What the task needs. */
export interface ControlPeersOptions {
  readonly self: string;
  readonly zone: string;
  /** Where this process takes links. */
  readonly address: Address;
  /** The processes that found a cluster together; null where this one must only join. */
  readonly founders: readonly string[] | null;
  /** Control processes known from settings. */
  readonly targets: () => readonly ControlTarget[];
  /** Address of a control process that only the log names, where its name tells it. */
  readonly locate: (name: string) => Address | undefined;
  readonly now: () => number;
  readonly consensus: () => DaemonConsensus;
  readonly hub: () => DaemonHub;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly random: () => number;
  readonly isCut: LinkSwitch;
}

interface RaftParams {
  readonly to: string;
  readonly from: string;
  readonly message: ConsensusMessage;
}

/** The other control processes. */
export class DaemonControlPeers {
  readonly #options: ControlPeersOptions;

  readonly #clients = new Map<string, TransportLinkClient>();

  /** Ends the client of one peer. */
  readonly #stopControllers = new Map<string, AbortController>();

  /** Peers that have said hello, by name. */
  readonly #peerAddresses = new Map<string, ControlAddress>();

  #leaderlessLoggedAt = -Infinity;

  constructor(options: ControlPeersOptions) {
    this.#options = options;
    options.targets().forEach((target) => this.#connect(target));
  }

  /** Control processes known here, this one first. */
  get controls(): readonly ControlAddress[] {
    const { self, zone, address } = this.#options;
    return [{ name: self, zone, address }, ...this.#peerAddresses.values()];
  }

  /** Methods for the other control processes. */
  get handlers(): LinkHandlers {
    const { consensus, hub } = this.#options;
    return {
      'control.hello': (params, link) => {
        const { from, self } = params as { from: string; self: ControlAddress };
        // eslint-disable-next-line no-param-reassign
        link.peer = from;
        this.#peerAddresses.set(from, self);
        this.#connect(self);
        hub().onControlsChanged();
      },
      raft: (params) => {
        const { to, from, message } = params as RaftParams;
        // Meant for an identity that this host had before it lost its disk: not ours to answer.
        if (to === consensus().state.id) {
          consensus().post({ type: 'message', from, message });
        }
      },
      'control.identity': () => this.identity,
      'control.found': async (params) =>
        this.#foundCluster(params as { voters: readonly string[] }),
      'control.load': (params) => hub().onGroupLoad(params as GroupLoad),
      'control.quarantine': (params) => this.#onUpdate('quarantine', params),
      'control.limits': (params) => this.#onUpdate('limits', params),
      'control.directory': (params) => {
        const { from, ...delta } = params as DirectoryDelta & { from: string };
        hub().onPeerDirectory(from, delta);
      },
    };
  }

  get identity(): PeerIdentity {
    const consensus = this.#options.consensus();
    const { self, zone } = this.#options;
    return { name: self, replica: consensus.state.id, formed: consensus.isFormed, zone };
  }

  /** Sends a message of the log to a replica; it may be lost. */
  send(to: string, message: ConsensusMessage): void {
    const from = this.#options.consensus().state.id;
    const params: RaftParams = { to, from, message };
    this.#clients.get(replicaName(to))?.notify('raft', params);
  }

  /** When a replica's host was last heard over the link to it; undefined where there is no such link. */
  heardAt(replica: string): number | undefined {
    return this.#clients.get(replicaName(replica))?.heardAt;
  }

  /** Sends news of members to all. */
  publishMembers(records: readonly MemberRecord[]): void {
    const delta = this.#directoryDelta(false, records);
    this.#clients.forEach((client) => client.notify('control.directory', delta));
  }

  /** Sends a group's load to all. */
  publishLoad(load: GroupLoad): void {
    this.#clients.forEach((client) => client.notify('control.load', load));
  }

  /** Sends news of what all entry and control processes hold to all. */
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

  /** Calls a method at a control process by name. */
  async request(name: string, method: string, params: unknown): Promise<unknown> {
    const client = this.#clients.get(name);
    if (client === undefined) {
      throw new Error(`no control process "${name}"`);
    }
    return client.request(method, params);
  }

  /** Asks all others; leaves out those that don't answer. */
  async requestAll(method: string, params: unknown): Promise<readonly unknown[]> {
    const settled = await Promise.allSettled(
      [...this.#clients.values()].map(async (client) => client.request(method, params, 1_000)),
    );
    return settled.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []));
  }

  /**
   * Forms a cluster, or joins the one that is there.
   *
   * Failure: a replica with an empty folder can't tell a first start from a lost disk. Symptom: it
   * founds a second cluster beside the first, and accepted configurations are forgotten. Enough: a
   * cluster is founded only while every configured process answers that it belongs to none.
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
   * Asks to be taken in again.
   *
   * Failure: a replica was replaced while it was out of reach, and returns with its old log.
   * Symptom: it waits for a leader that no longer sends to it, for good. Enough: without a leader it
   * asks the others, who take it in as a learner, or know it as a member and change nothing.
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

  /** Tells at an interval why this replica has no leader: whose votes it got, and whom it reaches. */
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

  /** Keeps a link to each member of the log; ends those to hosts that no longer are. */
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
    const kept = new Set([...members, ...targets.map(({ name }) => name), self]);
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
        // A new link may have missed news: the peer gets the whole list of those attached here.
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
