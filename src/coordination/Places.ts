/**
 * Places at the ranks of a service's groups, as one of several entry processes may use them.
 *
 * Failure: reports are a quarter of a second old, and all entry processes see the same free places.
 * Symptom: together they take several times what is free; writers slow each other until all are late.
 * Enough: at each report a process may add its even part of what is free to what it runs, and may put a
 * new request where one of its own has ended; what others leave unused is shared out by the next report.
 */
import type { EngineCosts, GroupLoad } from '../protocol/index.js';
import { passCorrection, passTime, USUAL_CORRECTION, writersWithin } from './EngineModel.js';

/** One rank's endpoint. */
export interface PlaceRank {
  readonly endpoint: string;
  readonly rank: number;
  readonly zone: string;
}

/** What is known of one group. */
export interface PlaceGroup {
  readonly group: string;
  readonly ranks: readonly PlaceRank[];
  readonly load: GroupLoad | null;
  /** When the load came, ms. */
  readonly loadAt: number;
  /** Requests that this process runs at each endpoint when the load came. */
  readonly ownAtLoad: ReadonlyMap<string, number>;
  /** Requests that this process may run at the group until the next load. */
  readonly allowance: number;
  /** Requests that the whole group should run at most. */
  readonly limit: number;
  /** Time of a pass at that load, ms. */
  readonly passMs: number;
}

/** What the figures are worked out from. */
export interface PlaceRules {
  readonly costs: EngineCosts;
  /** Longest pause between two events that is on time, ms. */
  readonly pauseMs: number;
  /** Entry processes that share the places. */
  readonly entryHosts: number;
}

/** A load older than this says nothing; the coordinator is gone or out of reach. In ms. */
export const LOAD_VALID_MS = 1_500;

/** Part of the longest pause that a pass may take: prompts are read in between. */
const PAUSE_SHARE = 0.9;

/** Writers that each rank keeps even where passes are too long: late answers are worth something. */
const LEAST_WRITERS = 2;

/** More of the free places than its even part that a process may take: not all have work at once. */
const OVERCOMMIT = 1.3;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Writers on each rank that the costs and the passes observed allow. */
function limitWriters({ costs, pauseMs }: PlaceRules, correction: number): number {
  const within = writersWithin(costs, correction, pauseMs * PAUSE_SHARE);
  return Math.min(costs.slots, Math.max(LEAST_WRITERS, within));
}

/** A group just seen: without a load this process takes an even part of all places. */
export function initPlaces(
  group: string,
  ranks: readonly PlaceRank[],
  rules: PlaceRules,
): PlaceGroup {
  const limit = ranks.length * limitWriters(rules, USUAL_CORRECTION);
  return {
    group,
    ranks,
    load: null,
    loadAt: -Infinity,
    ownAtLoad: new Map(),
    allowance: Math.ceil(limit / Math.max(1, rules.entryHosts)),
    limit,
    passMs: passTime(rules.costs, limit / Math.max(1, ranks.length)),
  };
}

/** Takes a group's load; `random` from 0 to 1 decides on the fraction of a place. */
export function takeLoad(
  state: PlaceGroup,
  load: GroupLoad,
  own: ReadonlyMap<string, number>,
  rules: PlaceRules,
  now: number,
  random: number,
): PlaceGroup {
  const ranks = Math.max(1, load.active.length);
  const running = sum(load.active) + sum(load.queued);
  const writers = sum(load.active) / ranks;
  const correction = passCorrection(rules.costs, writers, load.passMs);
  const limit = load.open ? ranks * limitWriters(rules, correction) : 0;
  const ownRunning = sum(state.ranks.map(({ endpoint }) => own.get(endpoint) ?? 0));
  const free = limit - running;
  const part = (Math.max(0, free) / Math.max(1, rules.entryHosts)) * OVERCOMMIT;
  const kept = running > limit ? (ownRunning * limit) / running : ownRunning;
  return {
    ...state,
    load,
    loadAt: now,
    ownAtLoad: new Map(own),
    allowance: Math.floor(kept + part + random),
    limit,
    passMs: load.passMs ?? passTime(rules.costs, writers) * USUAL_CORRECTION,
  };
}

/** The group's state once its load is too old to count. */
export function agePlaces(state: PlaceGroup, rules: PlaceRules, now: number): PlaceGroup {
  return state.load !== null && now - state.loadAt > LOAD_VALID_MS
    ? initPlaces(state.group, state.ranks, rules)
    : state;
}

/** Requests that this process runs at a group. */
export function ownAt(state: PlaceGroup, own: ReadonlyMap<string, number>): number {
  return sum(state.ranks.map(({ endpoint }) => own.get(endpoint) ?? 0));
}

/** Places that this process may still take at a group. */
export function freeAt(state: PlaceGroup, own: ReadonlyMap<string, number>): number {
  return Math.max(0, state.allowance - ownAt(state, own));
}

/**
 * Weight of what others run at a rank, by the last load. All processes see the same load, so in full it
 * would draw them all to one rank; what this process runs itself counts in full and at once.
 */
const OTHERS_WEIGHT = 0.4;

/** Requests at a rank as they weigh on the choice. */
export function workAt(
  state: PlaceGroup,
  { endpoint, rank }: PlaceRank,
  own: ReadonlyMap<string, number>,
): number {
  const reported = (state.load?.active[rank] ?? 0) + (state.load?.queued[rank] ?? 0);
  const others = Math.max(0, reported - (state.ownAtLoad.get(endpoint) ?? 0));
  return (own.get(endpoint) ?? 0) + OTHERS_WEIGHT * others;
}

/** A rank elsewhere must have this much less work to be worth bytes between AZs. */
const REMOTE_WORK = 0.9;

/**
 * The endpoint for a request: at the group with most places left, the rank with least work, those of
 * the own AZ first. `random` tells equals apart, for other processes see the same load.
 */
export function chooseRank(
  groups: readonly PlaceGroup[],
  own: ReadonlyMap<string, number>,
  zone: string,
  exclude: readonly string[],
  random: () => number,
): string | null {
  const usable = groups
    .filter(({ load }) => load === null || load.open)
    .map((state) => ({
      state,
      spare: freeAt(state, own),
      ranks: state.ranks.filter(({ endpoint }) => !exclude.includes(endpoint)),
    }))
    .filter(({ ranks }) => ranks.length > 0)
    .sort((a, b) => b.spare - a.spare);
  const [best] = usable;
  if (best === undefined) {
    return null;
  }
  const scored = best.ranks.map((rank) => ({
    endpoint: rank.endpoint,
    score: workAt(best.state, rank, own) + (rank.zone === zone ? 0 : REMOTE_WORK) + random() * 0.5,
  }));
  return scored.reduce((a, b) => (b.score < a.score ? b : a)).endpoint;
}
