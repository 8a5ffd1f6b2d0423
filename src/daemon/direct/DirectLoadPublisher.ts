/** Publishes the load of a group to the entry processes, on behalf of the group's coordinator. */
import type { GroupLoad, SlotGrants } from '../../protocol/index.js';

/** Use of a group's slots, from which the grants of the next interval are decided. */
export interface GroupUsage {
  /** Maximum number of requests that the group should run. */
  readonly limit: number;
  /** Running requests, and those that wait at ranks. */
  readonly running: number;
  /** Duration of a pass, ms. */
  readonly passMs: number;
  /** Time until the next load is published, ms. */
  readonly intervalMs: number;
}

/** Options of the publication of loads. */
export interface LoadPublisherOptions {
  readonly group: string;
  /** Sends a load to the entry processes. */
  readonly publish: (load: GroupLoad) => void;
  /** Decides how many requests may start until the next load; null while there are slots for all. */
  readonly grants?: (usage: GroupUsage) => SlotGrants | null;
}
