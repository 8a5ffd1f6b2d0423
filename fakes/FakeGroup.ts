/**
 * Fake group of ranks that run in lock-step on an expert map. A rank applies orders one by one; a step
 * runs only when every rank can run it. The group counts the steps in which ranks used different maps.
 */

/** Experts of each rank by layer: `map[layer][rank]` lists them. */
export type FakeMap = readonly (readonly (readonly number[])[])[];

/** An order to one rank. */
export type FakeRankOrder =
  | {
      readonly kind: 'prepare';
      readonly token: number;
      readonly version: number;
      readonly map: FakeMap;
    }
  /** Run no step from `step` on before the version is committed or aborted. */
  | {
      readonly kind: 'arm';
      readonly token: number;
      readonly version: number;
      readonly step: number;
    }
  | { readonly kind: 'commit'; readonly token: number; readonly version: number }
  | { readonly kind: 'abort'; readonly token: number; readonly version: number }
  | { readonly kind: 'query'; readonly token: number };

/** Reply of a rank to an order; `highest` is the highest fencing token that it has seen. */
export interface FakeRankReply {
  readonly accepted: boolean;
  readonly highest: number;
  readonly version: number;
  readonly prepared: number | null;
  readonly armed: number | null;
  readonly armedStep: number | null;
  readonly committed: number | null;
  readonly step: number;
}

/** Result of a step. */
export interface FakeStep {
  readonly step: number;
  readonly ran: boolean;
  /** Ranks that could not run the step. */
  readonly waiting: readonly number[];
  /** Load of each rank in tokens, summed over layers; empty if the step didn't run. */
  readonly rankLoad: readonly number[];
}

interface Rank {
  readonly highest: number;
  readonly version: number;
  readonly map: FakeMap;
  readonly prepared: { readonly version: number; readonly map: FakeMap } | null;
  readonly armed: { readonly version: number; readonly step: number } | null;
  readonly committed: number | null;
  readonly stalled: boolean;
}

type OrderHandler<K extends FakeRankOrder['kind']> = (
  rank: Rank,
  order: Extract<FakeRankOrder, { kind: K }>,
) => Rank | null;

const ORDER_HANDLERS: { readonly [K in FakeRankOrder['kind']]: OrderHandler<K> } = {
  prepare: (rank, { version, map }) =>
    rank.armed === null && version > rank.version ? { ...rank, prepared: { version, map } } : null,
  arm: (rank, { version, step }) =>
    rank.prepared?.version === version ? { ...rank, armed: rank.armed ?? { version, step } } : null,
  commit: (rank, { version }) =>
    rank.armed?.version === version ? { ...rank, committed: version } : null,
  abort: (rank, { version }) => {
    if (rank.committed === version || rank.version >= version) {
      return null;
    }
    // Another version may be committed but not active yet; an abort affects only the version that it names.
    return rank.prepared?.version === version ? { ...rank, prepared: null, armed: null } : rank;
  },
  query: (rank) => rank,
};

/** Switches to a committed version from the step it was armed for. */
function activate(rank: Rank, step: number): Rank {
  const { armed, committed, prepared } = rank;
  return armed !== null && committed === armed.version && step >= armed.step && prepared !== null
    ? { ...rank, version: armed.version, map: prepared.map, prepared: null, armed: null }
    : rank;
}

/** False while a rank is stalled, or has reached its armed step and doesn't know whether the version is committed. */
function canRunStep({ stalled, armed, committed }: Rank, step: number): boolean {
  return !stalled && (armed === null || step < armed.step || committed === armed.version);
}

export class FakeGroup {
  readonly #fencing: boolean;

  #ranks: readonly Rank[];

  #step = 0;

  #mixedSteps = 0;

  constructor(ranks: number, map: FakeMap, fencing = true) {
    this.#fencing = fencing;
    const rank: Rank = {
      highest: 0,
      version: 1,
      map,
      prepared: null,
      armed: null,
      committed: null,
      stalled: false,
    };
    this.#ranks = Array.from({ length: ranks }, () => rank);
  }

  /** Number of steps in which ranks used different versions; must stay 0. */
  get mixedSteps(): number {
    return this.#mixedSteps;
  }

  get versions(): readonly number[] {
    return this.#ranks.map(({ version }) => version);
  }

  /** Applies an order to one rank. Throws an error if there is no such rank. */
  applyOrder(index: number, order: FakeRankOrder): FakeRankReply {
    const rank = this.#ranks[index];
    if (rank === undefined) {
      throw new Error(`no rank ${index}`);
    }
    const stale = this.#fencing && order.token < rank.highest;
    const applyOrderKind = ORDER_HANDLERS[order.kind] as (
      rank: Rank,
      order: FakeRankOrder,
    ) => Rank | null;
    const updated = stale ? null : applyOrderKind(rank, order);
    const next = { ...(updated ?? rank), highest: Math.max(rank.highest, order.token) };
    this.#setRank(index, next);
    return {
      accepted: updated !== null,
      highest: next.highest,
      version: next.version,
      prepared: next.prepared?.version ?? null,
      armed: next.armed?.version ?? null,
      armedStep: next.armed?.step ?? null,
      committed: next.committed,
      step: this.#step,
    };
  }

  /** Stalls or resumes a rank; the group runs no step while one is stalled. */
  setStalled(index: number, stalled: boolean): void {
    const rank = this.#ranks[index];
    if (rank !== undefined) {
      this.#setRank(index, { ...rank, stalled });
    }
  }

  /** Runs one step if all ranks can run it. `load[layer][expert]` counts tokens. */
  runStep(load: readonly (readonly number[])[]): FakeStep {
    const step = this.#step + 1;
    const waiting = this.#ranks.flatMap((rank, i) => (canRunStep(rank, step) ? [] : [i]));
    if (waiting.length > 0) {
      return { step, ran: false, waiting, rankLoad: [] };
    }
    this.#step = step;
    this.#ranks = this.#ranks.map((rank) => activate(rank, step));
    if (new Set(this.versions).size > 1) {
      this.#mixedSteps += 1;
    }
    return { step, ran: true, waiting, rankLoad: this.#rankLoads(load) };
  }

  /** Load of each rank; the load of an expert is divided evenly among the ranks that have a replica. */
  #rankLoads(load: readonly (readonly number[])[]): readonly number[] {
    return this.#ranks.map(({ map }, rank) =>
      load.reduce(
        (sum, experts, layer) =>
          sum +
          (map[layer]?.[rank] ?? []).reduce((layerSum, expert) => {
            const replicaCount = (map[layer] ?? []).filter((rankExperts) =>
              rankExperts.includes(expert),
            ).length;
            return layerSum + (experts[expert] ?? 0) / replicaCount;
          }, 0),
        0,
      ),
    );
  }

  #setRank(index: number, rank: Rank): void {
    this.#ranks = this.#ranks.map((known, i) => (i === index ? rank : known));
  }
}
