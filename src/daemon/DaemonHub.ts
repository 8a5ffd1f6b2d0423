/**
 * Task that owns the processes attached to a control process: their links, their leases and what
 * configuration each was sent.
 */
import type { Logger } from 'pino';
import {
  attachedRecords,
  EMPTY_MEMBERSHIP,
  initRollout,
  stepMembership,
  stepRollout,
  type MembershipInput,
  type MembershipOutput,
  type MembershipState,
  type RolloutInput,
  type RolloutOutput,
  type RolloutState,
} from '../coordination/index.js';
import type { DirectoryDelta, HelloMessage, HelloReply, MemberRecord } from '../protocol/index.js';
import type { ConfigState, ControlState } from '../state/index.js';
import type { LinkHandlers, TransportLink } from '../transport/index.js';

/** What the task needs. */
export interface HubOptions {
  readonly log: Logger;
  readonly now: () => number;
  /** Sends news of members to the other control processes. */
  readonly publish: (records: readonly MemberRecord[]) => void;
}

/** What a control process tells of one process attached to it. */
export interface AttachedStatus {
  readonly id: string;
  readonly appliedIndex: number;
}

/** The attached processes of one control process. */
export class DaemonHub {
  readonly #options: HubOptions;

  readonly #links = new Map<string, TransportLink>();

  readonly #applied = new Map<string, number>();

  #membership: MembershipState = EMPTY_MEMBERSHIP;

  #rollout: RolloutState;

  constructor(options: HubOptions) {
    this.#options = options;
    this.#rollout = initRollout(options.now());
  }

  get membership(): MembershipState {
    return this.#membership;
  }

  get rollout(): RolloutState {
    return this.#rollout;
  }

  /** Members attached here, for a peer whose link is new. */
  get attached(): readonly MemberRecord[] {
    return attachedRecords(this.#membership);
  }

  /** What the processes attached here have in force. */
  get attachedStatus(): readonly AttachedStatus[] {
    return [...this.#applied].map(([id, appliedIndex]) => ({ id, appliedIndex }));
  }

  /** Methods for entry and endpoint processes. */
  get handlers(): LinkHandlers {
    return {
      'member.hello': (params, link) => this.#onHello(params as HelloMessage, link),
      'member.announce': (params) => {
        this.#member({ type: 'announce', record: params as MemberRecord });
        return true;
      },
      'config.gap': (params, link) => {
        const { held } = params as { held: number };
        this.#roll({ type: 'gap', id: link.peer, held });
      },
      'config.applied': (params, link) => {
        this.#applied.set(link.peer, (params as { index: number }).index);
      },
    };
  }

  /** The log's configuration has changed. */
  onControl(state: ControlState): void {
    this.#roll({ type: 'config', config: state.config, deltas: state.deltas });
  }

  /** A quorum has confirmed the log's configuration. */
  onConfirmed(): void {
    this.#roll({ type: 'confirmed' });
  }

  /** News from another control process. */
  onPeer(from: string, delta: DirectoryDelta): void {
    this.#member({ type: delta.full ? 'peerFull' : 'peer', from, records: delta.records });
  }

  /** Renews the leases of those heard, then looks for those that ran out. */
  tick(): void {
    const ids = [...this.#links].flatMap(([id, link]) =>
      this.#options.now() - link.heardAt < 1_500 ? [id] : [],
    );
    this.#member({ type: 'heard', ids });
    this.#member({ type: 'tick' });
    this.#roll({ type: 'tick' });
  }

  onClosed(link: TransportLink): void {
    if (this.#links.get(link.peer) === link) {
      this.#links.delete(link.peer);
      this.#applied.delete(link.peer);
      this.#roll({ type: 'unsubscribe', id: link.peer });
    }
  }

  #onHello({ record, configIndex }: HelloMessage, link: TransportLink): HelloReply {
    const { id } = record;
    const reply = this.#member({ type: 'hello', record });
    if (!reply.accepted) {
      return reply;
    }
    this.#links.get(id)?.close();
    // The link's peer is who said hello on it; it can't speak for another.
    // eslint-disable-next-line no-param-reassign
    link.peer = id;
    this.#links.set(id, link);
    this.#applied.set(id, configIndex);
    if (record.role === 'entry') {
      const records = [...this.#membership.directory.values()];
      link.notify('directory', { full: true, records } satisfies DirectoryDelta);
    }
    this.#roll({ type: 'subscribe', record, held: configIndex });
    return reply;
  }

  #member(input: MembershipInput): HelloReply {
    const { state, outputs } = stepMembership(this.#membership, input, this.#options.now());
    this.#membership = state;
    let reply: HelloReply = { accepted: true, leastIncarnation: 0 };
    outputs.forEach((output) => {
      if (output.type === 'hello') {
        reply = output.reply;
      } else {
        this.#publish(output);
      }
    });
    return reply;
  }

  #publish({ records, origin }: Extract<MembershipOutput, { type: 'publish' }>): void {
    if (origin) {
      this.#options.publish(records);
    }
    records.forEach(({ id, status, incarnation, version }) => {
      this.#options.log.info(
        { event: 'member', member: id, status, incarnation, version },
        'member',
      );
    });
    const delta: DirectoryDelta = { full: false, records };
    this.#links.forEach((link, id) => {
      if (this.#membership.directory.get(id)?.role === 'entry') {
        link.notify('directory', delta);
      }
    });
  }

  #roll(input: RolloutInput): void {
    const { state, outputs } = stepRollout(this.#rollout, input, this.#options.now());
    this.#rollout = state;
    outputs.forEach((output) => this.#perform(output));
  }

  #perform(output: RolloutOutput): void {
    if (output.type === 'send') {
      this.#links.get(output.to)?.notify('config', output.delta);
    } else if (output.type === 'phase') {
      this.#options.log.info({ event: 'rollout', phase: output.phase }, 'rollout phase');
    } else {
      this.#fetch(output.from).catch((err: unknown) => {
        this.#options.log.warn({ err, from: output.from }, 'configuration not fetched');
      });
    }
  }

  /** Gets the newer configuration that a process holds. */
  async #fetch(from: string): Promise<void> {
    const config = await this.#links.get(from)?.request('config.fetch', {});
    if (config !== undefined && config !== null) {
      this.#roll({ type: 'learned', config: config as ConfigState });
    }
  }
}
