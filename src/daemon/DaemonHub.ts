/**
 * Task that owns the processes attached to a control process: their links, their leases and what
 * configuration each was sent.
 */
import type { Logger } from 'pino';
import {
  attachedRecords,
  EMPTY_MEMBERSHIP,
  initTokenBucket,
  initRollout,
  stepMembership,
  stepRollout,
  takeBytes,
  type MembershipInput,
  type MembershipOutput,
  type MembershipState,
  type RolloutInput,
  type RolloutOutput,
  type RolloutState,
} from '../coordination/index.js';
import type {
  ControlAddress,
  DirectoryDelta,
  GroupLoad,
  HelloMessage,
  HelloReply,
  LimitNews,
  MemberRecord,
  QuarantineNews,
} from '../protocol/index.js';
import { DaemonLimits } from './DaemonLimits.js';
import { DaemonQuarantine } from './DaemonQuarantine.js';
import { mergeDeltas, regionsOf, type ConfigState, type ControlState } from '../state/index.js';
import {
  parseAddress,
  PartsSender,
  probeAddress,
  type LinkHandlers,
  type TransportLink,
} from '../transport/index.js';

/** A link on which nothing was heard for this long renews no lease. In ms. */
const LINK_STALE_MS = 1_500;

/** What the task needs. */
export interface HubOptions {
  readonly zone: string;
  readonly log: Logger;
  readonly now: () => number;
  /** Sends news of members to the other control processes. */
  readonly publishMembers: (records: readonly MemberRecord[]) => void;
  /** Control processes that a process which attaches is told of. */
  readonly controls: () => readonly ControlAddress[];
  /** Sends a group's load to the other control processes. */
  readonly publishLoad: (load: GroupLoad) => void;
  /** Sends news of what all entry and control processes hold to the other control processes. */
  readonly publishUpdate: (topic: SharedTopic, update: SharedUpdate) => void;
}

/** What all entry and control processes hold alike, by the name of its messages. */
export type SharedTopic = 'quarantine' | 'limits';

/** News of any of it. */
export type SharedUpdate = QuarantineNews | LimitNews;

/** What a control process tells of one process attached to it. */
export interface AttachedStatus {
  readonly id: string;
  readonly appliedIndex: number;
}

/** A process attached, with the sender of what is bulky or must stay in order. */
interface AttachedProcess {
  readonly link: TransportLink;
  readonly sender: PartsSender;
  readonly record: MemberRecord;
}

/** Sends at a pace that stays inside the receiver's budget. */
function rateLimitedSender(link: TransportLink, now: () => number): PartsSender {
  let pacing = initTokenBucket(now());
  return new PartsSender(link, (bytes) => {
    const { state, waitMs } = takeBytes(pacing, bytes, now());
    pacing = state;
    return waitMs;
  });
}

/** The attached processes of one control process. */
export class DaemonHub {
  readonly #options: HubOptions;

  readonly #processes = new Map<string, AttachedProcess>();

  readonly #appliedIndexes = new Map<string, number>();

  /** Requests that endpoints have ended under, as the entry processes tell. */
  readonly quarantine: DaemonQuarantine;

  /** Limits that endpoints have named, as the entry processes tell. */
  readonly #limits: DaemonLimits;

  #membership: MembershipState = EMPTY_MEMBERSHIP;

  #rollout: RolloutState;

  /** Region of each zone, by the newest configuration. */
  #regions: ReadonlyMap<string, string> = new Map();

  constructor(options: HubOptions) {
    this.#options = options;
    this.#rollout = initRollout(options.now());
    this.quarantine = new DaemonQuarantine({
      runtime: options,
      publish: (update, from) => this.#publishSharedUpdate('quarantine', update, from),
    });
    this.#limits = new DaemonLimits({
      runtime: options,
      publish: (update, from) => this.#publishSharedUpdate('limits', update, from),
    });
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
    return [...this.#appliedIndexes].map(([id, appliedIndex]) => ({ id, appliedIndex }));
  }

  /** Methods for entry and endpoint processes. */
  get handlers(): LinkHandlers {
    return {
      'member.hello': (params, link) => this.#onHello(params as HelloMessage, link),
      'member.announce': (params) => {
        this.#stepMembership({ type: 'announce', record: params as MemberRecord });
        return true;
      },
      'config.gap': (params, link) => {
        const { held } = params as { held: number };
        this.#stepRollout({ type: 'gap', id: link.peer, held });
      },
      'config.whole': () => this.#rollout.config,
      'group.load': (params) => {
        this.onGroupLoad(params as GroupLoad);
        this.#options.publishLoad(params as GroupLoad);
      },
      quarantine: (params, link) =>
        this.#onAttachedUpdate('quarantine', params as SharedUpdate, link),
      limits: (params, link) => this.#onAttachedUpdate('limits', params as SharedUpdate, link),
      'config.applied': (params, link) => {
        this.#appliedIndexes.set(link.peer, (params as { index: number }).index);
      },
    };
  }

  /** The log's configuration has changed. */
  onControlState(state: ControlState): void {
    this.#stepRollout({ type: 'config', config: state.config, deltas: state.deltas });
  }

  /** A quorum has confirmed the log's configuration. */
  onConfirmed(): void {
    this.#stepRollout({ type: 'confirmed' });
  }

  /**
   * Takes the heartbeat of an endpoint that has no process of ours. Only a change travels: a beat
   * that says nothing new renews the lease here.
   */
  onHeartbeat(record: MemberRecord): void {
    const known = this.#membership.directory.get(record.id);
    const same =
      this.#membership.attached.has(record.id) &&
      known?.status === record.status &&
      known.incarnation === record.incarnation &&
      known.address === record.address;
    this.#stepMembership(same ? { type: 'heard', ids: [record.id] } : { type: 'hello', record });
  }

  /** An endpoint that has no process of ours has said farewell. */
  onDeparture(record: MemberRecord): void {
    this.#stepMembership({ type: 'announce', record });
  }

  /**
   * Tells those attached here which control processes there are now: who came before the one of its AZ moves there.
   */
  onControlsChanged(): void {
    const controls = this.#options.controls();
    this.#processes.forEach(({ link }) => link.notify('controls', controls));
  }

  /** Passes a group's load on to the entry processes attached here. */
  onGroupLoad(load: GroupLoad): void {
    this.#processes.forEach(({ link, record }) => {
      if (record.role === 'entry') {
        link.notify('group.load', load);
      }
    });
  }

  /** News from another control process. */
  onPeerDirectory(from: string, delta: DirectoryDelta): void {
    this.#stepMembership({ type: delta.full ? 'peerFull' : 'peer', from, records: delta.records });
  }

  /** Renews the leases of those heard, then looks for those that ran out. */
  tick(): void {
    const ids = [...this.#processes].flatMap(([id, { link }]) =>
      this.#options.now() - link.heardAt < LINK_STALE_MS ? [id] : [],
    );
    this.#stepMembership({ type: 'heard', ids });
    this.#stepMembership({ type: 'tick' });
    this.quarantine.tick();
    this.#limits.tick();
    this.#stepRollout({ type: 'tick' });
  }

  onClosed(link: TransportLink): void {
    if (this.#processes.get(link.peer)?.link === link) {
      this.#processes.delete(link.peer);
      this.#appliedIndexes.delete(link.peer);
      this.#stepRollout({ type: 'unsubscribe', id: link.peer });
      this.#detectExit(link.peer).catch((err: unknown) => {
        this.#options.log.warn({ err, member: link.peer }, 'end of a process not looked for');
      });
    }
  }

  /**
   * Finds out whether a process that may coordinate a group has ended, now that its link has. Its host tells; only a
   * host of the own AZ is asked, since a partition between AZs may refuse connections in its place.
   */
  async #detectExit(id: string): Promise<void> {
    const known = this.#membership.directory.get(id);
    const address = parseAddress(known?.address ?? '');
    const isOwn = known?.offer?.group !== undefined && known.zone === this.#options.zone;
    if (!isOwn || address === undefined) {
      return;
    }
    const found = await probeAddress(address).result;
    const record = this.#membership.directory.get(id);
    const isSame = record?.incarnation === known.incarnation && !this.#processes.has(id);
    if (record !== undefined && isSame && found === 'refused') {
      this.#options.log.info({ event: 'ended', member: id }, 'a process has ended');
      this.#stepMembership({
        type: 'announce',
        record: { ...record, status: 'gone', ended: true },
      });
    }
  }

  #onHello({ record, configIndex }: HelloMessage, link: TransportLink): HelloReply {
    const { id } = record;
    const reply = this.#stepMembership({ type: 'hello', record });
    if (!reply.accepted) {
      return reply;
    }
    this.#processes.get(id)?.link.close();
    // The link's peer is who said hello on it; it can't speak for another.
    // eslint-disable-next-line no-param-reassign
    link.peer = id;
    const sender = rateLimitedSender(link, this.#options.now);
    const attached: AttachedProcess = { link, sender, record };
    this.#processes.set(id, attached);
    this.#sendDirectory(attached);
    if (record.role === 'entry') {
      this.sendSharedSets((topic, update) => link.notify(topic, update));
    }
    if (configIndex !== null) {
      this.#appliedIndexes.set(id, configIndex);
      this.#stepRollout({ type: 'subscribe', record, held: configIndex });
    }
    return { ...reply, controls: this.#options.controls() };
  }

  /** Tells another process all that is held here. */
  sendSharedSets(send: (topic: SharedTopic, update: SharedUpdate) => void): void {
    this.quarantine.sendAll((update) => send('quarantine', update));
    this.#limits.sendAll((update) => send('limits', update));
  }

  /** Takes news of what all processes hold. */
  onSharedUpdate(
    topic: SharedTopic,
    update: SharedUpdate,
    from: string,
    reply: (update: SharedUpdate) => void,
  ): void {
    const handlers: Readonly<Record<SharedTopic, () => void>> = {
      quarantine: () => this.quarantine.onUpdate(update as QuarantineNews, from, reply),
      limits: () => this.#limits.onUpdate(update as LimitNews, from, reply),
    };
    handlers[topic]();
  }

  #onAttachedUpdate(topic: SharedTopic, update: SharedUpdate, link: TransportLink): void {
    this.onSharedUpdate(topic, update, link.peer, (reply) => link.notify(topic, reply));
  }

  /** What an entry process tells goes to all others and all hubs; what a hub tells, to the own entry processes. */
  #publishSharedUpdate(topic: SharedTopic, update: SharedUpdate, from: string | null): void {
    this.#processes.forEach(({ link, record }, id) => {
      if (record.role === 'entry' && id !== from) {
        link.notify(topic, update);
      }
    });
    if (from === null || this.#processes.has(from)) {
      this.#options.publishUpdate(topic, update);
    }
  }

  #stepMembership(input: MembershipInput): HelloReply {
    const { state, outputs } = stepMembership(this.#membership, input, this.#options.now());
    this.#membership = state;
    let reply: HelloReply = { accepted: true, leastIncarnation: 0 };
    outputs.forEach((output) => {
      if (output.type === 'hello') {
        reply = output.reply;
      } else {
        this.#publishRecords(output);
      }
    });
    return reply;
  }

  #publishRecords({ records, origin }: Extract<MembershipOutput, { type: 'publish' }>): void {
    if (origin) {
      this.#options.publishMembers(records);
    }
    records.forEach(({ id, status, incarnation, version }) => {
      this.#options.log.info(
        { event: 'member', member: id, status, incarnation, version },
        'member',
      );
    });
    this.#processes.forEach(({ sender, record }) => {
      const relevant = this.#relevantRecords(record, records);
      if (relevant.length > 0) {
        sender.notify('directory', { full: false, records: relevant } satisfies DirectoryDelta);
      }
    });
  }

  /**
   * An entry process is told of its own region: work never spills out of it. An endpoint process is
   * told of its group's other processes.
   */
  #relevantRecords(
    record: MemberRecord,
    records: readonly MemberRecord[],
  ): readonly MemberRecord[] {
    if (record.role !== 'entry') {
      const group = record.offer?.group;
      return records.filter(({ offer }) => group !== undefined && offer?.group === group);
    }
    const own = this.#regions.get(record.zone);
    return records.filter(({ zone }) => {
      const region = this.#regions.get(zone);
      return own === undefined || region === undefined || region === own;
    });
  }

  #sendDirectory({ sender, record }: AttachedProcess): void {
    const records = this.#relevantRecords(record, [...this.#membership.directory.values()]);
    if (record.role === 'entry' || records.length > 0) {
      sender.notify('directory', { full: true, records } satisfies DirectoryDelta);
    }
  }

  /** Looks the regions up once a configuration; when they change, entry processes start afresh. */
  #updateRegions(): void {
    const regions = regionsOf(this.#rollout.config.entries);
    const text = JSON.stringify([...regions]);
    if (text !== JSON.stringify([...this.#regions])) {
      this.#regions = regions;
      this.#processes.forEach((attached) => this.#sendDirectory(attached));
    }
  }

  #stepRollout(input: RolloutInput): void {
    const { state, outputs } = stepRollout(this.#rollout, input, this.#options.now());
    const changed = state.config !== this.#rollout.config;
    this.#rollout = state;
    if (changed) {
      this.#updateRegions();
    }
    outputs.forEach((output) => this.#performRollout(output));
  }

  #performRollout(output: RolloutOutput): void {
    if (output.type === 'send') {
      this.#processes.get(output.to)?.sender.notifyMerged('config', output.delta, mergeDeltas);
    } else if (output.type === 'phase') {
      this.#options.log.info({ event: 'rollout', phase: output.phase }, 'rollout phase');
    } else {
      this.#fetchConfig(output.from).catch((err: unknown) => {
        this.#options.log.warn({ err, from: output.from }, 'configuration not fetched');
      });
    }
  }

  /** Gets the newer configuration that a process holds. */
  async #fetchConfig(from: string): Promise<void> {
    const config = await this.#processes.get(from)?.link.request('config.fetch', {});
    if (config !== undefined && config !== null) {
      this.#stepRollout({ type: 'learned', config: config as ConfigState });
    }
  }
}
