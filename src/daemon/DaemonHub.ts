/**
 * Manages the processes attached to a control process: their links, their membership leases, and which configuration
 * each was sent.
 */
import type { Logger } from 'pino';
import {
  attachedRecords,
  departingIncarnation,
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
  GroupDemand,
  GroupLoad,
  HelloMessage,
  HelloReply,
  LimitUpdate,
  MemberRecord,
  QuarantineUpdate,
} from '../protocol/index.js';
import { DaemonColdReports } from './DaemonColdReports.js';
import { DaemonDemand } from './DaemonDemand.js';
import { DaemonLimits } from './DaemonLimits.js';
import { DaemonQuarantine } from './DaemonQuarantine.js';
import {
  finishedEvacuations,
  mergeDeltas,
  regionsOf,
  type ConfigState,
  type ControlState,
} from '../state/index.js';
import {
  parseAddress,
  PartsSender,
  probeAddress,
  type LinkHandlers,
  type TransportLink,
} from '../transport/index.js';

/** A link on which nothing was received for this long no longer renews the lease of its process, ms. */
const LINK_STALE_MS = 1_500;

/** Dependencies of {@link DaemonHub}. */
export interface HubOptions {
  readonly zone: string;
  readonly log: Logger;
  readonly now: () => number;
  /** Sends changed member records to the other control processes. */
  readonly publishMembers: (records: readonly MemberRecord[]) => void;
  /** The known control processes, which a process is sent when it attaches. */
  readonly controls: () => readonly ControlAddress[];
  /** Sends the load of a group to the other control processes. */
  readonly publishLoad: (load: GroupLoad) => void;
  /** Sends the demand for groups to the control process of that name. */
  readonly sendDemands: (name: string, demands: readonly GroupDemand[]) => void;
  /** Sends an update of a shared set to the other control processes. */
  readonly publishUpdate: (topic: SharedTopic, update: SharedUpdate) => void;
}

/** The sets that all entry and control processes share, by the name of their messages. */
export type SharedTopic = 'quarantine' | 'limits';

/** An update of a shared set. */
export type SharedUpdate = QuarantineUpdate | LimitUpdate;

/** Status of an attached process, as its control process reports it. */
export interface AttachedStatus {
  readonly id: string;
  readonly appliedIndex: number;
}

/** An attached process, with a sender for messages that are large or must stay in order. */
interface AttachedProcess {
  readonly link: TransportLink;
  readonly sender: PartsSender;
  readonly record: MemberRecord;
}

/** Creates a sender whose rate leaves room for heartbeats on the receiver's link. */
function rateLimitedSender(link: TransportLink, now: () => number): PartsSender {
  let bucket = initTokenBucket(now());
  return new PartsSender(link, (bytes) => {
    const { state, waitMs } = takeBytes(bucket, bytes, now());
    bucket = state;
    return waitMs;
  });
}

/** The hub of one control process. */
export class DaemonHub {
  readonly #options: HubOptions;

  readonly #processes = new Map<string, AttachedProcess>();

  readonly #appliedIndexes = new Map<string, number>();

  /** Requests during which endpoints crashed, as reported by entry processes. */
  readonly quarantine: DaemonQuarantine;

  /** Limits that endpoints have advertised, as reported by entry processes. */
  readonly #limits: DaemonLimits;

  /** Demand for the slots of groups, on its way to their coordinators. */
  readonly demand: DaemonDemand;

  /** Cold times that endpoints state in their heartbeats. */
  readonly coldReports: DaemonColdReports;

  #membership: MembershipState = EMPTY_MEMBERSHIP;

  readonly #startedAt: number;

  #rollout: RolloutState;

  /** Region of each zone, by the newest configuration. */
  #regions: ReadonlyMap<string, string> = new Map();

  constructor(options: HubOptions) {
    this.#options = options;
    this.#startedAt = options.now();
    this.#rollout = initRollout(this.#startedAt);
    this.coldReports = new DaemonColdReports(options);
    this.quarantine = new DaemonQuarantine({
      runtime: options,
      publish: (update, from) => this.#publishSharedUpdate('quarantine', update, from),
    });
    this.demand = new DaemonDemand({
      log: options.log,
      now: options.now,
      sendToProcess: (id, demands) => this.#processes.get(id)?.link.notify('group.demand', demands),
      sendToPeer: (name, demands) => options.sendDemands(name, demands),
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

  /** Records of the processes attached here, for a peer whose link is new. */
  get attached(): readonly MemberRecord[] {
    return attachedRecords(this.#membership);
  }

  /** Index of the configuration that each attached process has in force. */
  get attachedStatus(): readonly AttachedStatus[] {
    return [...this.#appliedIndexes].map(([id, appliedIndex]) => ({ id, appliedIndex }));
  }

  /** Link methods that entry and endpoint processes call. */
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
      'group.load': (params, link) => {
        const load = params as GroupLoad;
        this.demand.onLoad(load, { isPeer: false, name: link.peer });
        this.#forwardLoad(load);
        this.#options.publishLoad(load);
      },
      'group.demand': (params) => this.demand.onDemand(params),
      quarantine: (params, link) =>
        this.#onAttachedUpdate('quarantine', params as SharedUpdate, link),
      limits: (params, link) => this.#onAttachedUpdate('limits', params as SharedUpdate, link),
      'config.applied': (params, link) => {
        this.#appliedIndexes.set(link.peer, (params as { index: number }).index);
      },
    };
  }

  /** Called when the log's configuration or its departures have changed. */
  onControlState(state: ControlState): void {
    const { config, deltas, departures } = state;
    if (departures !== this.#membership.departures) {
      this.#stepMembership({ type: 'departures', departures });
    }
    this.#stepRollout({ type: 'config', config, deltas });
  }

  /** Called when a quorum has confirmed the log's configuration. */
  onConfirmed(): void {
    this.#stepRollout({ type: 'confirmed' });
  }

  /**
   * Handles the heartbeat of an endpoint that isn't attached by a link. Only changes are published: a heartbeat
   * without one just renews the lease here.
   */
  onHeartbeat(record: MemberRecord): void {
    const known = this.#membership.directory.get(record.id);
    const isColdNews = this.coldReports.isNews(record);
    const isUnchanged =
      !isColdNews &&
      this.#membership.attached.has(record.id) &&
      known?.status === record.status &&
      known.incarnation === record.incarnation &&
      known.address === record.address;
    this.#stepMembership(
      isUnchanged ? { type: 'heard', ids: [record.id] } : { type: 'hello', record },
    );
  }

  /** The incarnation that a departure refers to which names none; null if that can't be told. */
  departingIncarnation(id: string): number | null {
    const now = this.#options.now();
    return departingIncarnation(this.#membership, id, now, now - this.#startedAt);
  }

  /** Handles the departure of an endpoint that isn't attached by a link. */
  onDeparture(record: MemberRecord): void {
    this.#stepMembership({ type: 'announce', record });
  }

  /**
   * Sends the current control processes to the processes attached here, so that those that attached before the
   * control process of their AZ was up move to it.
   */
  onControlsChanged(): void {
    const controls = this.#options.controls();
    this.#processes.forEach(({ link }) => link.notify('controls', controls));
  }

  /** Handles the load of a group from another control process. */
  onPeerLoad(load: GroupLoad, from: string): void {
    this.demand.onLoad(load, { isPeer: true, name: from });
    this.#forwardLoad(load);
  }

  /** Forwards the load of a group to the entry processes attached here. */
  #forwardLoad(load: GroupLoad): void {
    this.#processes.forEach(({ link, record }) => {
      if (record.role === 'entry') {
        link.notify('group.load', load);
      }
    });
  }

  /** Handles member records from another control process. */
  onPeerDirectory(from: string, delta: DirectoryDelta): void {
    this.#stepMembership({ type: delta.full ? 'peerFull' : 'peer', from, records: delta.records });
  }

  /**
   * Renews the leases of processes that were heard from, expires leases that ran out, and runs the periodic work of
   * the sets and the rollout.
   */
  tick(): void {
    const ids = [...this.#processes].flatMap(([id, { link }]) =>
      this.#options.now() - link.lastReceivedAt < LINK_STALE_MS ? [id] : [],
    );
    this.#stepMembership({ type: 'heard', ids });
    this.#stepMembership({ type: 'tick' });
    this.coldReports.tick((id) => this.#membership.attached.has(id));
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
        this.#options.log.warn(
          { err, member: link.peer },
          'could not find out whether a process has exited',
        );
      });
    }
  }

  /**
   * Finds out, after its link closed, whether a process that may coordinate a group has exited: its host then refuses
   * connections. Only processes of the own AZ are probed, since a partition between AZs may refuse connections too.
   */
  async #detectExit(id: string): Promise<void> {
    const known = this.#membership.directory.get(id);
    const address = parseAddress(known?.address ?? '');
    const isProbeable = known?.offer?.group !== undefined && known.zone === this.#options.zone;
    if (!isProbeable || address === undefined) {
      return;
    }
    const probeResult = await probeAddress(address).result;
    const record = this.#membership.directory.get(id);
    const isSame = record?.incarnation === known.incarnation && !this.#processes.has(id);
    if (record !== undefined && isSame && probeResult === 'refused') {
      this.#options.log.info({ event: 'ended', member: id }, 'a process has exited');
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
    // The link belongs to the process that sent its hello on it, and carries messages of no other.
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

  /** Sends all items of the shared sets to another process. */
  sendSharedSets(send: (topic: SharedTopic, update: SharedUpdate) => void): void {
    this.quarantine.sendAll((update) => send('quarantine', update));
    this.#limits.sendAll((update) => send('limits', update));
  }

  /** Handles an update of a shared set; `reply` sends to the process that it came from. */
  onSharedUpdate(
    topic: SharedTopic,
    update: SharedUpdate,
    from: string,
    reply: (update: SharedUpdate) => void,
  ): void {
    const handlers: Readonly<Record<SharedTopic, () => void>> = {
      quarantine: () => this.quarantine.onUpdate(update as QuarantineUpdate, from, reply),
      limits: () => this.#limits.onUpdate(update as LimitUpdate, from, reply),
    };
    handlers[topic]();
  }

  #onAttachedUpdate(topic: SharedTopic, update: SharedUpdate, link: TransportLink): void {
    this.onSharedUpdate(topic, update, link.peer, (reply) => link.notify(topic, reply));
  }

  /**
   * Forwards an update. One from an entry process or this process goes to all other entry processes attached here and
   * to all other control processes; one from a control process, only to the entry processes attached here.
   */
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
        'member record changed',
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
   * Records that a process needs. An entry process gets those of its own region, since requests never leave it; an
   * endpoint process gets those of its group.
   */
  #relevantRecords(
    record: MemberRecord,
    records: readonly MemberRecord[],
  ): readonly MemberRecord[] {
    if (record.role !== 'entry') {
      const group = record.offer?.group;
      return records.filter(({ offer }) => group !== undefined && offer?.group === group);
    }
    const ownRegion = this.#regions.get(record.zone);
    return records.filter(({ zone }) => {
      const region = this.#regions.get(zone);
      return ownRegion === undefined || region === undefined || region === ownRegion;
    });
  }

  #sendDirectory({ sender, record }: AttachedProcess): void {
    const records = this.#relevantRecords(record, [...this.#membership.directory.values()]);
    if (record.role === 'entry' || records.length > 0) {
      sender.notify('directory', { full: true, records } satisfies DirectoryDelta);
    }
  }

  /**
   * Updates the regions for a new configuration. If they changed, all attached processes get their full directory
   * again.
   */
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
    const before = this.#rollout.config;
    this.#rollout = state;
    if (state.config !== before) {
      this.#updateRegions();
      finishedEvacuations(before.entries, state.config.entries).forEach((zone) =>
        this.coldReports.onEvacuationFinished(zone),
      );
    }
    outputs.forEach((output) => this.#handleRolloutOutput(output));
  }

  #handleRolloutOutput(output: RolloutOutput): void {
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

  /** Fetches the newer configuration that an attached process holds. */
  async #fetchConfig(from: string): Promise<void> {
    const config = await this.#processes.get(from)?.link.request('config.fetch', {});
    if (config !== undefined && config !== null) {
      this.#stepRollout({ type: 'learned', config: config as ConfigState });
    }
  }
}
