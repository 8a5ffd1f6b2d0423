/**
 * Passes the demand for a group's slots on to the process that coordinates the group: from the entry processes attached
 * to this control process, and from other control processes.
 */
import type { Logger } from 'pino';
import {
  isGroupDemand,
  type GroupDemand,
  type GroupLoad,
  type SlotGrants,
} from '../protocol/index.js';

/** Time for which demand is collected before it is passed on, ms. */
const COLLECT_MS = 100;

/** A process from which no load of a group has come for this long isn't sent its demand any more, ms. */
const COORDINATOR_TTL_MS = 2_000;

/** Minimum time between two log lines on invalid messages, ms. */
const INVALID_LOG_INTERVAL_MS = 1_000;

/** Dependencies of {@link DaemonDemand}. */
export interface DemandOptions {
  readonly log: Logger;
  readonly now: () => number;
  /** Sends to a process attached here. */
  readonly sendToProcess: (id: string, demands: readonly GroupDemand[]) => void;
  /** Sends to another control process. */
  readonly sendToPeer: (name: string, demands: readonly GroupDemand[]) => void;
}

/** A process from which loads of a group come: one attached here, or another control process. */
interface LoadSource {
  readonly isPeer: boolean;
  readonly name: string;
}

/** Number of requests of one priority that were granted by the last load of a group. */
export interface UrgencyLevel {
  readonly group: string;
  readonly priority: number;
  readonly demand: number;
  readonly granted: number;
  readonly ageMs: number;
}

/** Demand that passes one control process. */
export class DaemonDemand {
  readonly #options: DemandOptions;

  /** When a load of each group last came from each source. */
  readonly #sources = new Map<string, Map<string, { readonly source: LoadSource; at: number }>>();

  /** Grants of the last load of each group. */
  readonly #grants = new Map<string, { readonly grants: SlotGrants; readonly at: number }>();

  /** Collected demand, the last message of each process and group. */
  #collected = new Map<string, GroupDemand>();

  #timer: NodeJS.Timeout | null = null;

  #invalidLoggedAt = -Infinity;

  constructor(options: DemandOptions) {
    this.#options = options;
  }

  /**
   * Records where the load of a group came from. The coordinator is found by this instead of by its lease, since it
   * publishes several loads a second and the records of leases may not have reached this process.
   */
  onLoad({ group, grants, open }: GroupLoad, source: LoadSource): void {
    const at = this.#options.now();
    const sources = this.#sources.get(group) ?? new Map();
    this.#sources.set(group, sources.set(`${source.isPeer} ${source.name}`, { source, at }));
    if (open && grants !== undefined) {
      this.#grants.set(group, { grants, at });
    } else {
      this.#grants.delete(group);
    }
  }

  /** Collects a message of an entry process attached here. */
  onDemand(params: unknown): void {
    if (!isGroupDemand(params)) {
      this.#logInvalid(params);
      return;
    }
    this.#collected.set(`${params.group} ${params.host}`, params);
    this.#timer ??= setTimeout(() => this.#flush(), COLLECT_MS).unref();
  }

  /** Passes messages from another control process on, to processes attached here only. */
  onPeerDemands(params: unknown): void {
    const demands = Array.isArray(params) ? params.filter(isGroupDemand) : [];
    if (!Array.isArray(params) || demands.length < params.length) {
      this.#logInvalid(params);
    }
    this.#pass(demands, false);
  }

  /** Urgency levels that are admitted at the groups where the demand exceeds the slots. */
  get levels(): readonly UrgencyLevel[] {
    const now = this.#options.now();
    return [...this.#grants]
      .filter(([, { at }]) => now - at <= COORDINATOR_TTL_MS)
      .flatMap(([group, { grants, at }]) =>
        grants.rows.map((row) => ({ group, ...row, ageMs: Math.round(now - at) })),
      );
  }

  #flush(): void {
    this.#timer = null;
    const demands = [...this.#collected.values()];
    this.#collected = new Map();
    this.#pass(demands, true);
  }

  #pass(demands: readonly GroupDemand[], toPeers: boolean): void {
    const byGroup = new Map<string, GroupDemand[]>();
    demands.forEach((demand) =>
      byGroup.set(demand.group, [...(byGroup.get(demand.group) ?? []), demand]),
    );
    byGroup.forEach((ofGroup, group) => {
      this.#sourcesOf(group).forEach(({ isPeer, name }) => {
        if (!isPeer) {
          this.#options.sendToProcess(name, ofGroup);
        } else if (toPeers) {
          this.#options.sendToPeer(name, ofGroup);
        }
      });
    });
  }

  #sourcesOf(group: string): readonly LoadSource[] {
    const now = this.#options.now();
    return [...(this.#sources.get(group)?.values() ?? [])]
      .filter(({ at }) => now - at <= COORDINATOR_TTL_MS)
      .map(({ source }) => source);
  }

  #logInvalid(params: unknown): void {
    const now = this.#options.now();
    if (now - this.#invalidLoggedAt >= INVALID_LOG_INTERVAL_MS) {
      this.#invalidLoggedAt = now;
      const { host, group } = (params ?? {}) as Partial<GroupDemand>;
      this.#options.log.warn(
        { event: 'demand_invalid', host, group },
        'a demand message is invalid and is not used',
      );
    }
  }
}
