/** The link of an entry or endpoint process to a control process, its own AZ's first. */
import type { Logger } from 'pino';
import type {
  ConfigDelta,
  ControlAddress,
  DirectoryDelta,
  GroupLoad,
  HelloMessage,
  HelloReply,
  LimitNews,
  MemberRecord,
  QuarantineNews,
} from '../protocol/index.js';
import { hashText } from '../coordination/index.js';
import { applyConfigDelta, EMPTY_CONFIG, type ConfigState } from '../state/index.js';
import { TransportLinkClient, withParts, type TransportLink } from '../transport/index.js';
import type { ControlTarget } from './DaemonSettings.js';

/** A hub that hasn't taken this process in after this long is frozen or out of reach: another is tried. ms. */
const HELLO_TIMEOUT_MS = 1_200;

/** Parts of one message come at most this far apart: 4 KB at 16 KB a second, twice over. In ms. */
const PART_TIMEOUT_MS = 600;

/** What the task needs. */
export interface HubLinkOptions {
  /** Control processes known from settings, in order of preference. */
  readonly targets: () => readonly ControlTarget[];
  readonly record: MemberRecord;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly random: () => number;
  /** Takes each configuration; null where this process needs none and is sent none. */
  readonly onConfig: ((config: ConfigState) => void) | null;
  readonly onDirectory: (delta: DirectoryDelta) => void;
  readonly onGroupLoad?: (load: GroupLoad) => void;
  readonly onQuarantine?: (update: QuarantineNews) => void;
  readonly onLimits?: (update: LimitNews) => void;
  /** Called once attached, after each new link. */
  readonly onAttached?: () => void;
}

/** Keeps this process attached, announced and up to date. */
export class DaemonHubLink {
  readonly #options: HubLinkOptions;

  readonly #client: TransportLinkClient;

  #record: MemberRecord;

  #config: ConfigState = EMPTY_CONFIG;

  /** When a part of a large message last came, ms on the local monotonic clock. */
  #partReceivedAt = -Infinity;

  /** Control processes that the one attached to last has told of. */
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
          limits: (update) => options.onLimits?.(update as LimitNews),
          quarantine: (update) => options.onQuarantine?.(update as QuarantineNews),
        },
        () => {
          this.#partReceivedAt = performance.now();
        },
      ),
      onUp: async (link) => this.#hello(link),
      onFailure: (failure) =>
        options.log.info({ event: 'hub_unreached', ...failure }, 'attempt at a hub failed'),
      onSearched: (result) =>
        options.log.info({ event: 'hub_search', ...result }, 'search for a hub ended'),
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

  /** Whether a large message is on its way here: its parts are paced. */
  get isReceiving(): boolean {
    return performance.now() - this.#partReceivedAt < PART_TIMEOUT_MS;
  }

  /** Announces a change of this process. */
  announce(change: Partial<Pick<MemberRecord, 'status' | 'offer'>>): void {
    this.#record = { ...this.#record, ...change, version: this.#record.version + 1 };
    this.#client.notify('member.announce', this.#record);
  }

  /** Sends without an answer; lost while there is no link. */
  notify(method: string, params: unknown): void {
    this.#client.notify(method, params);
  }

  /** Calls a method of the control process. */
  async request(method: string, params: unknown, timeoutMs?: number): Promise<unknown> {
    return this.#client.request(method, params, timeoutMs);
  }

  /** Asks the control process for a sign of life. */
  async ping(timeoutMs: number): Promise<void> {
    await this.#client.ping(timeoutMs);
  }

  /** Looks for another control process while the link stays, until {@link endSearch}. */
  searchOther(): void {
    this.#client.searchOther();
  }

  /** The control process is of use: no other is looked for. */
  endSearch(): void {
    this.#client.stopSearch();
  }

  /** Has the control process send again all that came after the configuration held. */
  requestConfigResend(): void {
    this.notify('config.gap', { held: this.#config.index });
  }

  async #hello(link: TransportLink): Promise<void> {
    // A new version refutes a `gone` that was said while this process wasn't heard.
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
   * Those of the own AZ first, then the others, each in an order of this process's own: settings name
   * some of the control processes, and these tell of the rest.
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
   * Puts a configuration in force; true if that worked.
   *
   * Failure: a control process of another version accepts what this one can't read. Symptom: the older configuration
   * stays in force and nothing tells why. Enough: it is logged here, and never reported as applied.
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
   * Takes a delta and answers on the link that it came by: it can come before the reply to `hello`,
   * when the client doesn't count the link as up, and the answer would be lost.
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

/** Puts the control process of the own AZ first: it shares a switch and survives a cut with us. */
export function preferOwnZone(
  targets: readonly ControlTarget[],
  own: string | undefined,
): readonly ControlTarget[] {
  return [...targets].sort((a, b) => Number(b.name === own) - Number(a.name === own));
}
