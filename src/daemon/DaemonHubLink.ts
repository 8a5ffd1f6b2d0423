/** The link of an entry or endpoint process to a control process, preferably that of its own AZ. */
import type { Logger } from 'pino';
import type {
  ConfigDelta,
  ControlAddress,
  DirectoryDelta,
  GroupLoad,
  HelloMessage,
  HelloReply,
  LimitUpdate,
  MemberRecord,
  QuarantineUpdate,
} from '../protocol/index.js';
import { hashText } from '../coordination/index.js';
import { applyConfigDelta, EMPTY_CONFIG, type ConfigState } from '../state/index.js';
import { TransportLinkClient, withParts, type TransportLink } from '../transport/index.js';
import type { ControlTarget } from './DaemonSettings.js';

/** Timeout for attaching to a hub, ms. A hub that takes longer is frozen or unreachable, and another is tried. */
const HELLO_TIMEOUT_MS = 1_200;

/** Maximum gap between two parts of one message, ms: far more than the time that one takes on the slowest link. */
const PART_TIMEOUT_MS = 600;

/** Dependencies of {@link DaemonHubLink}. */
export interface HubLinkOptions {
  /** Control processes known from the settings, in order of preference. */
  readonly targets: () => readonly ControlTarget[];
  readonly record: MemberRecord;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly random: () => number;
  /** Called with each configuration; null if this process needs none and is sent none. */
  readonly onConfig: ((config: ConfigState) => void) | null;
  readonly onDirectory: (delta: DirectoryDelta) => void;
  readonly onGroupLoad?: (load: GroupLoad) => void;
  /** Called with the demand for the group that this process coordinates. */
  readonly onDemands?: (demands: unknown) => void;
  readonly onQuarantine?: (update: QuarantineUpdate) => void;
  readonly onLimits?: (update: LimitUpdate) => void;
  /** Called once attached, after each new link. */
  readonly onAttached?: () => void;
}

/** Keeps this process attached to a hub, its record announced and its configuration up to date. */
export class DaemonHubLink {
  readonly #options: HubLinkOptions;

  readonly #client: TransportLinkClient;

  #record: MemberRecord;

  #config: ConfigState = EMPTY_CONFIG;

  /** When a part of a large message was last received, ms on the local monotonic clock. */
  #partReceivedAt = -Infinity;

  /** Control processes reported by the one that this process attached to last. */
  #controls: readonly ControlAddress[] = [];

  constructor(options: HubLinkOptions) {
    this.#options = options;
    this.#record = options.record;
    this.#client = new TransportLinkClient({
      targets: () => this.#targets(),
      signal: options.signal,
      jitter: options.random,
      handlers: withParts(
        {
          config: (delta, link) => this.#onConfig(delta as ConfigDelta, link),
          directory: (delta) => options.onDirectory(delta as DirectoryDelta),
          'config.fetch': () => this.#config,
          controls: (controls) => {
            this.#controls = controls as readonly ControlAddress[];
          },
          'group.load': (load) => options.onGroupLoad?.(load as GroupLoad),
          'group.demand': (demands) => options.onDemands?.(demands),
          limits: (update) => options.onLimits?.(update as LimitUpdate),
          quarantine: (update) => options.onQuarantine?.(update as QuarantineUpdate),
        },
        () => {
          this.#partReceivedAt = performance.now();
        },
      ),
      onUp: async (link) => this.#hello(link),
      onFailure: (failure) =>
        options.log.info({ event: 'hub_unreached', ...failure }, 'attempt at a hub failed'),
      onSearched: (result) =>
        options.log.info({ event: 'hub_search', ...result }, 'search for a hub finished'),
    });
  }

  get record(): MemberRecord {
    return this.#record;
  }

  get config(): ConfigState {
    return this.#config;
  }

  /** Whether this process is attached now. */
  get isAttached(): boolean {
    return this.#client.link !== null;
  }

  /** Whether a large message is being received; its parts are sent at a limited rate. */
  get isReceiving(): boolean {
    return performance.now() - this.#partReceivedAt < PART_TIMEOUT_MS;
  }

  /** Announces a change of this process. */
  announce(change: Partial<Pick<MemberRecord, 'status' | 'offer'>>): void {
    this.#record = { ...this.#record, ...change, version: this.#record.version + 1 };
    this.#client.notify('member.announce', this.#record);
  }

  /** Sends a notification; it is lost while there is no link. */
  notify(method: string, params: unknown): void {
    this.#client.notify(method, params);
  }

  /** Calls a method of the control process. */
  async request(method: string, params: unknown, timeoutMs?: number): Promise<unknown> {
    return this.#client.request(method, params, timeoutMs);
  }

  /** Checks that the control process responds. Rejects after `timeoutMs`. */
  async ping(timeoutMs: number): Promise<void> {
    await this.#client.ping(timeoutMs);
  }

  /** Searches for another control process while the current link stays, until {@link endSearch}. */
  searchOther(): void {
    this.#client.searchOther();
  }

  /** Ends the search for another control process, as the current one is usable. */
  endSearch(): void {
    this.#client.stopSearch();
  }

  /** Asks the control process to send again everything after the configuration held here. */
  requestConfigResend(): void {
    this.notify('config.gap', { held: this.#config.index });
  }

  async #hello(link: TransportLink): Promise<void> {
    // A higher version overrides a `gone` that was published while this process was unreachable.
    this.#record = { ...this.#record, version: this.#record.version + 1 };
    const configIndex = this.#options.onConfig === null ? null : this.#config.index;
    const hello: HelloMessage = { record: this.#record, configIndex };
    const reply = (await link.request('member.hello', hello, HELLO_TIMEOUT_MS)) as HelloReply;
    if (reply.accepted) {
      this.#controls = reply.controls ?? [];
      this.#options.log.info({ event: 'attached', to: link.peer }, 'attached');
      setImmediate(() => this.#options.onAttached?.());
      return;
    }
    this.#record = { ...this.#record, incarnation: reply.leastIncarnation, version: 0 };
    throw new Error('incarnation too old');
  }

  /**
   * The control processes of the own AZ first, then the others, each part in an order that differs between processes.
   * Settings name only some of the control processes, and these report the others.
   */
  #targets(): readonly ControlTarget[] {
    const { record } = this.#options;
    const targets = this.#options.targets();
    if (this.#controls.length === 0) {
      return targets;
    }
    const reported = new Set(this.#controls.map(({ name }) => name));
    const sortKey = ({ name }: ControlTarget): number => hashText(`${record.id} ${name}`);
    const isOwnZone = (control: ControlAddress): number => Number(control.zone === record.zone);
    return [
      ...[...this.#controls].sort((a, b) => isOwnZone(b) - isOwnZone(a) || sortKey(a) - sortKey(b)),
      ...targets.filter(({ name }) => !reported.has(name)),
    ];
  }

  /**
   * Puts a configuration in force; returns whether that worked.
   *
   * A control process of another version may accept a configuration that this one can't read. The older one then
   * stays in force; that is logged, and receipt of the new one isn't answered with `config.applied`.
   */
  #apply(config: ConfigState): boolean {
    try {
      this.#options.onConfig?.(config);
      return true;
    } catch (err) {
      this.#options.log.error(
        { event: 'config_failed', index: config.index, err },
        'a configuration could not be put in force',
      );
      return false;
    }
  }

  /**
   * Applies a delta and replies on the link on which it arrived. It can arrive before the reply to `hello`, when the
   * client doesn't consider the link up yet and would drop the message.
   */
  #onConfig(delta: ConfigDelta, link: TransportLink): void {
    const { state, result } = applyConfigDelta(this.#config, delta);
    this.#config = state;
    if (result === 'gap') {
      link.notify('config.gap', { held: state.index });
      return;
    }
    if (result !== 'applied' || this.#apply(state)) {
      link.notify('config.applied', { index: state.index });
    }
  }
}

/**
 * Puts the control process of the own AZ first: it is behind the same switch, and stays reachable when the AZ is cut
 * off.
 */
export function preferOwnZone(
  targets: readonly ControlTarget[],
  ownControl: string | undefined,
): readonly ControlTarget[] {
  return [...targets].sort((a, b) => Number(b.name === ownControl) - Number(a.name === ownControl));
}
