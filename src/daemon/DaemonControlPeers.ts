/** Links of a control process to the others, and the forming of a cluster over them. */
import type { Logger } from 'pino';
import type { ConsensusMessage } from '../coordination/index.js';
import type { DirectoryDelta, MemberRecord } from '../protocol/index.js';
import { TransportLinkClient, type LinkHandlers, type LinkSwitch } from '../transport/index.js';
import type { DaemonConsensus } from './DaemonConsensus.js';
import { replicaName } from './DaemonControlService.js';
import type { DaemonHub } from './DaemonHub.js';
import type { ControlTarget } from './DaemonSettings.js';

/** Who a control process is. */
export interface PeerIdentity {
  readonly name: string;
  readonly replica: string;
  readonly formed: boolean;
}

/** What the task needs. */
export interface ControlPeersOptions {
  readonly self: string;
  readonly targets: readonly ControlTarget[];
  readonly consensus: () => DaemonConsensus;
  readonly hub: () => DaemonHub;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly random: () => number;
  readonly isCut: LinkSwitch;
}

/** The other control processes. */
export class DaemonControlPeers {
  readonly #options: ControlPeersOptions;

  readonly #clients: ReadonlyMap<string, TransportLinkClient>;

  constructor(options: ControlPeersOptions) {
    this.#options = options;
    const others = options.targets.filter(({ name }) => name !== options.self);
    this.#clients = new Map(
      others.map((target) => [
        target.name,
        new TransportLinkClient({
          targets: [target],
          handlers: {},
          signal: options.signal,
          isCut: options.isCut,
          jitter: options.random,
          onUp: async (link) => {
            link.notify('control.hello', { from: options.self });
            // A new link may have missed news: the peer gets the whole list of those attached here.
            const { attached } = options.hub();
            link.notify('control.directory', this.#directory(true, attached));
          },
        }),
      ]),
    );
  }

  /** Methods for the other control processes. */
  get handlers(): LinkHandlers {
    const { consensus, hub } = this.#options;
    return {
      'control.hello': (params, link) => {
        // eslint-disable-next-line no-param-reassign
        link.peer = (params as { from: string }).from;
      },
      raft: (params) => {
        const { from, message } = params as { from: string; message: ConsensusMessage };
        consensus().post({ type: 'message', from, message });
      },
      'control.identity': () => this.identity,
      'control.found': async (params) => this.#onFound(params as { voters: readonly string[] }),
      'control.directory': (params) => {
        const { from, ...delta } = params as DirectoryDelta & { from: string };
        hub().onPeer(from, delta);
      },
    };
  }

  get identity(): PeerIdentity {
    const consensus = this.#options.consensus();
    const { self } = this.#options;
    return { name: self, replica: consensus.state.id, formed: consensus.isFormed };
  }

  /** Sends a message of the log to a replica; it may be lost. */
  send(to: string, message: ConsensusMessage): void {
    const from = this.#options.consensus().state.id;
    this.#clients.get(replicaName(to))?.notify('raft', { from, message });
  }

  /** Sends news of members to all. */
  publish(records: readonly MemberRecord[]): void {
    const delta = this.#directory(false, records);
    this.#clients.forEach((client) => client.notify('control.directory', delta));
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
  async form(): Promise<void> {
    const { self, targets, consensus, log } = this.#options;
    if (consensus().isFormed) {
      return;
    }
    const peers = (await this.requestAll('control.identity', {})) as readonly PeerIdentity[];
    const formed = peers.find((peer) => peer.formed);
    if (formed !== undefined) {
      const { replica } = this.identity;
      await this.request(formed.name, 'control.join', { replica });
      return;
    }
    const names = targets.map(({ name }) => name).sort();
    if (peers.length === targets.length - 1 && names[0] === self) {
      const voters = [this.identity.replica, ...peers.map(({ replica }) => replica)];
      await this.#onFound({ voters });
      await this.requestAll('control.found', { voters });
      log.info({ event: 'found', voters }, 'cluster founded');
    }
  }

  async #onFound({ voters }: { readonly voters: readonly string[] }): Promise<boolean> {
    const consensus = this.#options.consensus();
    if (consensus.isFormed || !voters.includes(consensus.state.id)) {
      return false;
    }
    await consensus.found({ voters, learners: [] });
    return true;
  }

  #directory(full: boolean, records: readonly MemberRecord[]): DirectoryDelta & { from: string } {
    return { full, records, from: this.#options.self };
  }
}
