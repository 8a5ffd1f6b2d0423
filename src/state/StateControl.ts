/**
 * The replicated state of the control processes. `applyCommand` is the single place where it
 * changes; every replica applies the same commands in the same order.
 */
import type { ConfigDelta, ConfigEntries, LeaseGrant, SubmitReply } from '../protocol/index.js';
import { EMPTY_CONFIG, patchEntries, type ConfigState } from './StateConfig.js';

/** Deltas kept for processes that missed some; a longer gap is closed by a snapshot. */
export const DELTA_HISTORY = 512;

/** What has been accepted for one fleet. */
export interface FleetState {
  readonly version: number;
  readonly digest: string;
  /** What was accepted under each version, so that a resend gets its first answer. */
  readonly accepted: AcceptedTable;
}

/** One accepted version. */
export interface AcceptedVersion {
  readonly digest: string;
  readonly index: number;
}

/**
 * Accepted versions in buckets of {@link ACCEPTED_BUCKET}, so that adding one copies a bucket and
 * not the history.
 */
export type AcceptedTable = Readonly<Record<number, Readonly<Record<number, AcceptedVersion>>>>;

/** Versions in one bucket. */
const ACCEPTED_BUCKET = 256;

/**
 * Buckets kept: 262,144 versions, 32 days of 8,200 changes a day. A resend of an older one is
 * answered `older`, which is no acceptance, so nothing wrong is promised.
 */
const ACCEPTED_BUCKETS = 1_024;

function findAccepted(table: AcceptedTable, version: number): AcceptedVersion | undefined {
  return table[Math.floor(version / ACCEPTED_BUCKET)]?.[version];
}

function addAccepted(
  table: AcceptedTable,
  version: number,
  accepted: AcceptedVersion,
): AcceptedTable {
  const bucket = Math.floor(version / ACCEPTED_BUCKET);
  const next = { ...table, [bucket]: { ...table[bucket], [version]: accepted } };
  const kept = Object.entries(next).slice(-ACCEPTED_BUCKETS);
  return kept.length < Object.keys(next).length ? Object.fromEntries(kept) : next;
}

/** A lease as the log knows it: who holds it, never until when, for clocks don't agree. */
export interface LeaseState {
  readonly holder: string;
  readonly token: number;
  /** Renewals as the leader counts them; 0 in the log, see `LeaseKeeper`. */
  readonly renewals: number;
}

/** Replicated state of the control processes. */
export interface ControlState {
  readonly index: number;
  readonly config: ConfigState;
  readonly deltas: readonly ConfigDelta[];
  readonly fleets: Readonly<Record<string, FleetState>>;
  readonly leases: Readonly<Record<string, LeaseState>>;
  /** Last fencing token given, over all groups. */
  readonly lastToken: number;
}

/** A manifest's change, worked out by the leader against `base`. */
export interface SubmitCommand {
  readonly kind: 'submit';
  readonly fleet: string;
  readonly version: number;
  readonly digest: string;
  /** Version of the fleet that the delta starts from; 0 for none. */
  readonly base: number;
  readonly set: ConfigEntries;
  readonly del: readonly string[];
}

/**
 * A whole document under a version number, where the highest version counts: one that isn't higher
 * than what is held is accepted and changes nothing.
 */
export interface ReplaceCommand {
  readonly kind: 'replace';
  readonly fleet: string;
  readonly version: number;
  readonly digest: string;
  readonly entries: ConfigEntries;
}

/** Grants a lease; `after` names the one that it follows, so that a race has one winner. */
export interface LeaseCommand {
  readonly kind: 'lease';
  readonly group: string;
  readonly holder: string;
  readonly durationMs: number;
  readonly after: { readonly token: number };
}

/** A command of the log. `noop` is what a new leader commits first. */
export type ControlCommand =
  SubmitCommand | ReplaceCommand | LeaseCommand | { readonly kind: 'noop' };

/** Result of a command. `stale`: its base has changed, work it out anew. */
export type CommandResult =
  | SubmitReply
  | { readonly result: 'granted'; readonly lease: LeaseGrant }
  | { readonly result: 'held'; readonly lease: LeaseState }
  | { readonly result: 'stale' }
  | { readonly result: 'done' };

/** State before the first command. */
export const EMPTY_CONTROL: ControlState = {
  index: 0,
  config: EMPTY_CONFIG,
  deltas: [],
  fleets: {},
  leases: {},
  lastToken: 0,
};

interface Applied {
  readonly state: ControlState;
  readonly result: CommandResult;
}

/**
 * Judges a submission against what was accepted, without changing anything.
 *
 * Operators race with equal version numbers and resend when an answer is lost. The same digest is
 * the same submission and gets the answer of the first; another digest is a conflict that names
 * what was accepted. The table is part of snapshots, so compaction and failover don't forget it.
 */
export function checkSubmission(
  state: ControlState,
  fleet: string,
  version: number,
  digest: string,
): SubmitReply | 'new' {
  const known = state.fleets[fleet];
  if (known === undefined) {
    return 'new';
  }
  const acceptedBefore = findAccepted(known.accepted, version);
  if (acceptedBefore !== undefined) {
    return acceptedBefore.digest === digest
      ? { result: 'accepted', fleet, version, digest, index: acceptedBefore.index }
      : {
          result: 'conflict',
          fleet,
          version,
          acceptedDigest: acceptedBefore.digest,
          acceptedVersion: version,
        };
  }
  return version > known.version
    ? 'new'
    : {
        result: 'older',
        fleet,
        version,
        acceptedDigest: known.digest,
        acceptedVersion: known.version,
      };
}

function applySubmit(state: ControlState, command: SubmitCommand, index: number): Applied {
  const { fleet, version, digest } = command;
  const checkedReply = checkSubmission(state, fleet, version, digest);
  if (checkedReply !== 'new') {
    return { state, result: checkedReply };
  }
  const known = state.fleets[fleet];
  if ((known?.version ?? 0) !== command.base) {
    return { state, result: { result: 'stale' } };
  }
  const delta: ConfigDelta = {
    from: state.config.index,
    to: index,
    set: command.set,
    del: command.del,
  };
  return {
    state: {
      ...state,
      config: { index, entries: patchEntries(state.config.entries, delta) },
      deltas: [...state.deltas, delta].slice(-DELTA_HISTORY),
      fleets: {
        ...state.fleets,
        [fleet]: {
          version,
          digest,
          accepted: addAccepted(known?.accepted ?? {}, version, { digest, index }),
        },
      },
    },
    result: { result: 'accepted', fleet, version, digest, index },
  };
}

/** Keeps no deltas: each change is a whole document, and only the newest is of use. */
function applyReplace(state: ControlState, command: ReplaceCommand, index: number): Applied {
  const { fleet, version, digest, entries } = command;
  const known = state.fleets[fleet];
  const accepted: SubmitReply = { result: 'accepted', fleet, version, digest, index };
  if (known !== undefined && version <= known.version) {
    return { state, result: accepted };
  }
  return {
    state: {
      ...state,
      config: { index, entries },
      deltas: [],
      fleets: { ...state.fleets, [fleet]: { version, digest, accepted: {} } },
    },
    result: accepted,
  };
}

function applyLease(state: ControlState, command: LeaseCommand): Applied {
  const { group, holder, durationMs, after } = command;
  const held = state.leases[group];
  if ((held?.token ?? 0) !== after.token) {
    return held === undefined
      ? { state, result: { result: 'stale' } }
      : { state, result: { result: 'held', lease: held } };
  }
  // Also for the same holder: a process that restarted must not share a token with its past life.
  const token = state.lastToken + 1;
  const lease: LeaseState = { holder, token, renewals: 0 };
  return {
    state: { ...state, leases: { ...state.leases, [group]: lease }, lastToken: token },
    result: { result: 'granted', lease: { group, holder, token, durationMs } },
  };
}

type Handlers = {
  readonly [K in ControlCommand['kind']]: (
    state: ControlState,
    command: Extract<ControlCommand, { kind: K }>,
    index: number,
  ) => Applied;
};

const HANDLERS: Handlers = {
  submit: applySubmit,
  replace: applyReplace,
  lease: applyLease,
  noop: (state) => ({ state, result: { result: 'done' } }),
};

/** Applies one committed command; the only place where the replicated state changes. */
export function applyCommand(state: ControlState, command: ControlCommand, index: number): Applied {
  const handler = HANDLERS[command.kind] as (
    state: ControlState,
    command: ControlCommand,
    index: number,
  ) => Applied;
  const applied = handler(state, command, index);
  return { state: { ...applied.state, index }, result: applied.result };
}

/**
 * Deltas that lead from an index to the newest; one snapshot where they aren't kept, or don't end at
 * the configuration, as when that was learned from elsewhere.
 */
export function deltasSince(
  { config, deltas }: Pick<ControlState, 'config' | 'deltas'>,
  index: number,
): readonly ConfigDelta[] {
  if (index >= config.index) {
    return [];
  }
  const start = deltas.findIndex((delta) => delta.from === index);
  const reachesConfig = deltas.at(-1)?.to === config.index;
  return index > 0 && start >= 0 && reachesConfig
    ? deltas.slice(start)
    : [{ from: 0, to: config.index, set: config.entries, del: [] }];
}

/** One delta that does what two in a row do; null if the second doesn't begin where the first ends. */
export function mergeDeltas(first: ConfigDelta, second: ConfigDelta): ConfigDelta | null {
  if (second.from === 0) {
    return second;
  }
  if (second.from !== first.to) {
    return null;
  }
  const removed = new Set(second.del);
  const kept = Object.entries(first.set).filter(([key]) => !removed.has(key));
  const set = { ...Object.fromEntries(kept), ...second.set };
  const del = [...first.del, ...second.del].filter((key) => !(key in set));
  return { from: first.from, to: second.to, set, del: first.from === 0 ? [] : del };
}
