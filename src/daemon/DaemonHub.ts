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
const HEARD_MS = 1_500;

/** What the task needs. */
export interface HubOptions {
  readonly zone: string;
  readonly log: Logger;
  readonly now: () => number;
  /** Sends news of members to the other control processes. */
  readonly publish: (records: readonly MemberRecord[]) => void;
  /** Control processes that a process which attaches is told of. */
  readonly controls: () => readonly ControlAddress[];
  /** Sends a group's load to the other control processes. */
  readonly publishLoad: (load: GroupLoad) => void;
  /** Sends news of what all entry and control processes hold to the other control processes. */
  readonly publishNews: (topic: SharedTopic, news: SharedNews) => void;
}

/** What all entry and control processes hold alike, by the name of its messages. */
export type SharedTopic = 'quarantine' | 'limits';

/** News of any of it. */
export type SharedNews = QuarantineNews | LimitNews;

/** What a control process tells of one process attached to it. */
export interface AttachedStatus {
  readonly id: string;
  readonly appliedIndex: number;
}

/** A process attached, with the sender of what is bulky or must stay in order. */
interface Attached {
  readonly link: TransportLink;
  readonly sender: PartsSender;
  readonly record: MemberRecord;
}

/** Sends at a pace that stays inside the receiver's budget. */
function pacedSender(link: TransportLink, now: () => number): PartsSender {
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

  readonly #links = new Map<string, Attached>();

  readonly #applied = new Map<string, number>();

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
      publish: (news, from) => this.#publishNews('quarantine', news, from),
    });
    this.#limits = new DaemonLimits({
      runtime: options,
      publish: (news, from) => this.#publishNews('limits', news, from),
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
      'config.whole': () => this.#rollout.config,
      'group.load': (params) => {
        this.onGroupLoad(params as GroupLoad);
        this.#options.publishLoad(params as GroupLoad);
      },
      quarantine: (params, link) => this.#onAttachedNews('quarantine', params as SharedNews, link),
      limits: (params, link) => this.#onAttachedNews('limits', params as SharedNews, link),
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
    this.#member(same ? { type: 'heard', ids: [record.id] } : { type: 'hello', record });
  }

  /** An endpoint that has no process of ours has said farewell. */
  onDeparture(record: MemberRecord): void {
    this.#member({ type: 'announce', record });
  }

  /**
   * Tells those attached here which control processes there are now: who came before the one of its AZ moves there.
   */
  onControls(): void {
    const controls = this.#options.controls();
    this.#links.forEach(({ link }) => link.notify('controls', controls));
  }

  /** Passes a group's load on to the entry processes attached here. */
  onGroupLoad(load: GroupLoad): void {
    this.#links.forEach(({ link, record }) => {
      if (record.role === 'entry') {
        link.notify('group.load', load);
      }
    });
  }

  /** News from another control process. */
  onPeer(from: string, delta: DirectoryDelta): void {
    this.#member({ type: delta.full ? 'peerFull' : 'peer', from, records: delta.records });
  }

  /** Renews the leases of those heard, then looks for those that ran out. */
  tick(): void {
    const ids = [...this.#links].flatMap(([id, { link }]) =>
      this.#options.now() - link.heardAt < HEARD_MS ? [id] : [],
    );
    this.#member({ type: 'heard', ids });
    this.#member({ type: 'tick' });
    this.quarantine.tick();
    this.#limits.tick();
    this.#roll({ type: 'tick' });
  }

  onClosed(link: TransportLink): void {
    if (this.#links.get(link.peer)?.link === link) {
      this.#links.delete(link.peer);
      this.#applied.delete(link.peer);
      this.#roll({ type: 'unsubscribe', id: link.peer });
      this.#findEnd(link.peer).catch((err: unknown) => {
        this.#options.log.warn({ err, member: link.peer }, 'end of a process not looked for');
      });
    }
  }

  /**
   * Finds out whether a process that may coordinate a group has ended, now that its link has. Its host tells; only a
   * host of the own AZ is asked, since a partition between AZs may refuse connections in its place.
   */
  async #findEnd(id: string): Promise<void> {
    const known = this.#membership.directory.get(id);
    const address = parseAddress(known?.address ?? '');
    const isOwn = known?.offer?.group !== undefined && known.zone === this.#options.zone;
    if (!isOwn || address === undefined) {
      return;
    }
    const found = await probeAddress(address).result;
    const record = this.#membership.directory.get(id);
    const isSame = record?.incarnation === known.incarnation && !this.#links.has(id);
    if (record !== undefined && isSame && found === 'refused') {
      this.#options.log.info({ event: 'ended', member: id }, 'a process has ended');
      this.#member({ type: 'announce', record: { ...record, status: 'gone', ended: true } });
    }
  }

  #onHello({ record, configIndex }: HelloMessage, link: TransportLink): HelloReply {
    const { id } = record;
    const reply = this.#member({ type: 'hello', record });
    if (!reply.accepted) {
      return reply;
    }
    this.#links.get(id)?.link.close();
    // The link's peer is who said hello on it; it can't speak for another.
    // eslint-disable-next-line no-param-reassign
    link.peer = id;
    const sender = pacedSender(link, this.#options.now);
    const attached: Attached = { link, sender, record };
    this.#links.set(id, attached);
    this.#sendDirectory(attached);
    if (record.role === 'entry') {
      this.introduce((topic, news) => link.notify(topic, news));
    }
    if (configIndex !== null) {
      this.#applied.set(id, configIndex);
      this.#roll({ type: 'subscribe', record, held: configIndex });
    }
    return { ...reply, controls: this.#options.controls() };
  }

  /** Tells another process all that is held here. */
  introduce(send: (topic: SharedTopic, news: SharedNews) => void): void {
    this.quarantine.introduce((news) => send('quarantine', news));
    this.#limits.introduce((news) => send('limits', news));
  }

  /** Takes news of what all processes hold. */
  onShared(
    topic: SharedTopic,
    news: SharedNews,
    from: string,
    reply: (news: SharedNews) => void,
  ): void {
    const handlers: Readonly<Record<SharedTopic, () => void>> = {
      quarantine: () => this.quarantine.onNews(news as QuarantineNews, from, reply),
      limits: () => this.#limits.onNews(news as LimitNews, from, reply),
    };
    handlers[topic]();
  }

  #onAttachedNews(topic: SharedTopic, news: SharedNews, link: TransportLink): void {
    this.onShared(topic, news, link.peer, (reply) => link.notify(topic, reply));
  }

  /** What an entry process tells goes to all others and all hubs; what a hub tells, to the own entry processes. */
  #publishNews(topic: SharedTopic, news: SharedNews, from: string | null): void {
    this.#links.forEach(({ link, record }, id) => {
      if (record.role === 'entry' && id !== from) {
        link.notify(topic, news);
      }
    });
    if (from === null || this.#links.has(from)) {
      this.#options.publishNews(topic, news);
    }
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
    this.#links.forEach(({ sender, record }) => {
      const concerning = this.#concerning(record, records);
      if (concerning.length > 0) {
        sender.notify('directory', { full: false, records: concerning } satisfies DirectoryDelta);
      }
    });
  }

  /**
   * An entry process is told of its own region: work never spills out of it. An endpoint process is
   * told of its group's other processes.
   */
  #concerning(record: MemberRecord, records: readonly MemberRecord[]): readonly MemberRecord[] {
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

  #sendDirectory({ sender, record }: Attached): void {
    const records = this.#concerning(record, [...this.#membership.directory.values()]);
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
      this.#links.forEach((attached) => this.#sendDirectory(attached));
    }
  }

  #roll(input: RolloutInput): void {
    const { state, outputs } = stepRollout(this.#rollout, input, this.#options.now());
    const changed = state.config !== this.#rollout.config;
    this.#rollout = state;
    if (changed) {
      this.#updateRegions();
    }
    outputs.forEach((output) => this.#perform(output));
  }

  #perform(output: RolloutOutput): void {
    if (output.type === 'send') {
      this.#links.get(output.to)?.sender.notifyMerged('config', output.delta, mergeDeltas);
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
    const config = await this.#links.get(from)?.link.request('config.fetch', {});
    if (config !== undefined && config !== null) {
      this.#roll({ type: 'learned', config: config as ConfigState });
    }
  }
}
