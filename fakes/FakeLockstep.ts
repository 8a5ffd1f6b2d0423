/**
 * Fake group whose ranks switch maps at the pass for which they were armed. A rank with a hold stops the whole
 * group at that pass. The group counts the passes that started while ranks used different maps.
 */
import type { EngineOrder, GroupMap, RankReport } from '../src/protocol/index.js';

interface Rank {
  readonly version: number;
  readonly map: string;
  readonly highest: number;
  readonly prepared: { readonly version: number; readonly map: string } | null;
  readonly armed: { readonly version: number; readonly step: number } | null;
  readonly held: number | null;
}

const INITIAL_RANK: Rank = {
  version: 0,
  map: 'first',
  highest: 0,
  prepared: null,
  armed: null,
  held: null,
};

type OrderHandler<K extends EngineOrder['kind']> = (
  rank: Rank,
  order: Extract<EngineOrder, { kind: K }>,
  step: number,
) => Rank | null;

const ORDER_HANDLERS: { readonly [K in EngineOrder['kind']]: OrderHandler<K> } = {
  prepare: (rank, { version, map }) =>
    version > rank.highest && rank.armed === null
      ? { ...rank, highest: version, prepared: { version, map: JSON.stringify(map) } }
      : null,
  arm: (rank, { version, step }, currentStep) =>
    rank.prepared?.version === version && step > currentStep
      ? { ...rank, armed: { version, step } }
      : null,
  disarm: (rank, { version }) =>
    rank.armed?.version === version ? { ...rank, armed: null } : null,
  hold: (rank, { step }, currentStep) =>
    step > currentStep && (rank.held === null || rank.held === step)
      ? { ...rank, held: step }
      : null,
  release: (rank, { step }) => (rank.held === step ? { ...rank, held: null } : null),
};

export class FakeLockstep {
  #ranks: readonly Rank[];

  #epoch = 1;

  #step = 0;

  #mixedPasses = 0;

  constructor(ranks: number) {
    this.#ranks = Array.from({ length: ranks }, () => INITIAL_RANK);
  }

  /** Number of passes that started while ranks used different maps. */
  get mixedPasses(): number {
    return this.#mixedPasses;
  }

  get step(): number {
    return this.#step;
  }

  get versions(): readonly number[] {
    return this.#ranks.map(({ version }) => version);
  }

  /** Applies an order to a rank; returns false if its epoch is another or the rank's state doesn't allow it. */
  applyOrder(index: number, order: EngineOrder): boolean {
    const rank = this.#ranks[index];
    if (rank === undefined || order.epoch !== this.#epoch) {
      return false;
    }
    const applyOrderKind = ORDER_HANDLERS[order.kind] as (
      state: Rank,
      item: EngineOrder,
      step: number,
    ) => Rank | null;
    const next = applyOrderKind(rank, order, this.#step);
    if (next !== null) {
      this.#ranks = this.#ranks.map((other, i) => (i === index ? next : other));
    }
    return next !== null;
  }

  /** Runs the next pass, unless a rank has a hold at it or before. */
  runPass(): void {
    const next = this.#step + 1;
    if (this.#ranks.some(({ held }) => held !== null && held <= next)) {
      return;
    }
    this.#step = next;
    this.#ranks = this.#ranks.map((rank) =>
      rank.armed !== null && rank.prepared !== null && rank.armed.step <= next
        ? {
            ...rank,
            version: rank.armed.version,
            map: rank.prepared.map,
            armed: null,
            prepared: null,
          }
        : rank,
    );
    if (new Set(this.#ranks.map(({ version, map }) => `${version} ${map}`)).size > 1) {
      this.#mixedPasses += 1;
    }
  }

  /** Resets all ranks under a new epoch, as after the crash of one. */
  restart(): void {
    this.#epoch += 1;
    this.#ranks = this.#ranks.map(() => INITIAL_RANK);
  }

  report(index: number): RankReport {
    const rank = this.#ranks[index] ?? INITIAL_RANK;
    return {
      group: 'g',
      epoch: this.#epoch,
      rank: index,
      ranks: this.#ranks.length,
      open: true,
      step: this.#step,
      mapVersion: rank.version,
      prepared: rank.prepared?.version ?? null,
      armed: rank.armed,
      copying: false,
      heldStep: rank.held,
      active: 0,
      queued: 0,
      pace: 1,
    };
  }

  /** Map that a rank uses; null for its initial one. */
  mapOf(index: number): GroupMap | null {
    const map = this.#ranks[index]?.map;
    return map === undefined || map === INITIAL_RANK.map ? null : (JSON.parse(map) as GroupMap);
  }

  /** Map with one layer, in which each rank has the expert of its index; a coordinator reads it as the one in use. */
  get map(): GroupMap {
    return [this.#ranks.map((_rank, i) => [i])];
  }
}
