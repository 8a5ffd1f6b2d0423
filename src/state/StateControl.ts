/**
 * The replicated state of the control processes. It changes only in `applyCommand`; every replica
 * applies the same commands in the same order.
 */
import type {
  ConfigDelta,
  ConfigEntries,
  LeaseGrant,
  MemberRecord,
  SubmitReply,
} from '../protocol/index.js';
import { diffEntries, EMPTY_CONFIG, patchEntries, type ConfigState } from './StateConfig.js';
import {
  addDepartures,
  dropDepartures,
  type DepartureKey,
  type Departures,
} from './StateDepartures.js';
import { evacuationDelta, evacuationEntries, mayHaveChangedSince } from './StateEvacuation.js';

/** Number of deltas kept for processes that missed some; a longer gap is closed by a snapshot. */
export const DELTA_HISTORY = 512;

/**
 * Number of deltas kept where whole documents are replaced, of some KB each; they are part of every snapshot of the
 * log.
 */
const REPLACE_DELTA_HISTORY = 32;

/** Accepted versions of one fleet. */
export interface FleetState {
  readonly version: number;
  readonly digest: string;
  /** Digest and index of each accepted version, so that a resend gets the same answer as the first submission. */
  readonly accepted: AcceptedTable;
}

/** An accepted version. */
export interface AcceptedVersion {
  readonly digest: string;
  readonly index: number;
}

/**
 * Accepted versions in buckets of {@link ACCEPTED_BUCKET}, so that adding one copies one bucket
 * instead of the whole history.
 */
export type AcceptedTable = Readonly<Record<number, Readonly<Record<number, AcceptedVersion>>>>;

/** Versions per bucket. */
const ACCEPTED_BUCKET = 256;

/**
 * Maximum number of buckets: 262,144 versions, which is 32 days of 8,200 changes a day. A resend of a version that was
 * dropped is answered `older`, which doesn't claim that it was accepted.
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

/** A lease as recorded in the log: its holder but no expiry time, since clocks differ between hosts. */
export interface LeaseState {
  readonly holder: string;
  readonly token: number;
  /** Number of renewals counted by the leader; 0 in the log, see `LeaseRenewals`. */
  readonly renewals: number;
}

/** Replicated state of the control processes. */
export interface ControlState {
  readonly index: number;
  readonly config: ConfigState;
  readonly deltas: readonly ConfigDelta[];
  readonly fleets: Readonly<Record<string, FleetState>>;
  readonly leases: Readonly<Record<string, LeaseState>>;
  /** Last fencing token that was issued, over all groups. */
  readonly lastToken: number;
  readonly departures: Departures;
}

/** Change of a manifest, computed by the leader against version `base`. */
export interface SubmitCommand {
  readonly kind: 'submit';
  readonly fleet: string;
  readonly version: number;
  readonly digest: string;
  /** Version of the fleet that the delta is based on; 0 for none. */
  readonly base: number;
  readonly set: ConfigEntries;
  readonly del: readonly string[];
}

/**
 * Replaces the whole configuration by a document with a version number. A version that isn't higher
 * than the current one is answered as accepted and changes nothing.
 */
export interface ReplaceCommand {
  readonly kind: 'replace';
  readonly fleet: string;
  readonly version: number;
  readonly digest: string;
  readonly entries: ConfigEntries;
}

/** Grants a lease; `after` identifies the lease that it replaces, so that only one of concurrent requests succeeds. */
export interface LeaseCommand {
  readonly kind: 'lease';
  readonly group: string;
  readonly holder: string;
  readonly durationMs: number;
  readonly after: { readonly token: number };
}

/**
 * Begins or finishes the evacuation of a zone. `base` is the index of the configuration that the order was based on:
 * an order that was delayed on its way must not undo a later one for the same zone. Documents and other zones don't
 * count: they may change more often than an order takes to be committed.
 */
export interface EvacuateCommand {
  readonly kind: 'evacuate';
  readonly zone: string;
  readonly evacuated: boolean;
  readonly base: number;
}

/** Records that endpoints are leaving or gone. */
export interface DepartCommand {
  readonly kind: 'depart';
  readonly records: readonly MemberRecord[];
}

/** Drops departures after which no late message can arrive any more. */
export interface ForgetDeparturesCommand {
  readonly kind: 'forgetDepartures';
  readonly departures: readonly DepartureKey[];
}

/** A command of the log. A new leader commits a `noop` first. */
export type ControlCommand =
  | SubmitCommand
  | ReplaceCommand
  | LeaseCommand
  | EvacuateCommand
  | DepartCommand
  | ForgetDeparturesCommand
  | { readonly kind: 'noop' };

/** Result of a command. With `stale`, its base has changed and the command has to be computed again. */
export type CommandResult =
  | SubmitReply
  | { readonly result: 'granted'; readonly lease: LeaseGrant }
  | { readonly result: 'held'; readonly lease: LeaseState }
  | { readonly result: 'evacuated'; readonly index: number }
  | { readonly result: 'departed'; readonly index: number }
  | { readonly result: 'full' }
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
  departures: {},
};

/** Restores the state from a snapshot, which may be of a version without some of the fields. */
export function restoreControl(image: unknown): ControlState {
  return { ...EMPTY_CONTROL, ...(image as Partial<ControlState> | null) };
}

interface Applied {
  readonly state: ControlState;
  readonly result: CommandResult;
}

/**
 * Checks a submission against the accepted versions, without changing the state.
 *
 * Operators may submit the same version number concurrently, and resend when an answer is lost. A submission with the
 * accepted digest is a resend and gets the first answer; with another digest it is a conflict, and the reply contains
 * what was accepted. The accepted versions are part of snapshots, so they survive compaction and failover.
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

function applyReplace(state: ControlState, command: ReplaceCommand, index: number): Applied {
  const { fleet, version, digest } = command;
  const known = state.fleets[fleet];
  const entries = { ...command.entries, ...evacuationEntries(state.config.entries) };
  const accepted: SubmitReply = { result: 'accepted', fleet, version, digest, index };
  if (known !== undefined && version <= known.version) {
    return { state, result: accepted };
  }
  const delta: ConfigDelta = {
    from: state.config.index,
    to: index,
    ...diffEntries(state.config.entries, entries),
  };
  return {
    state: {
      ...state,
      config: { index, entries },
      deltas: [...state.deltas, delta].slice(-REPLACE_DELTA_HISTORY),
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
  // A new token also for the same holder: a restarted process must not share one with its previous incarnation.
  const token = state.lastToken + 1;
  const lease: LeaseState = { holder, token, renewals: 0 };
  return {
    state: { ...state, leases: { ...state.leases, [group]: lease }, lastToken: token },
    result: { result: 'granted', lease: { group, holder, token, durationMs } },
  };
}

function applyEvacuate(state: ControlState, command: EvacuateCommand, index: number): Applied {
  const { zone, evacuated, base } = command;
  if (mayHaveChangedSince(state, zone, base)) {
    return { state, result: { result: 'stale' } };
  }
  const delta = evacuationDelta(state.config, zone, evacuated, index);
  if (delta === null) {
    return { state, result: { result: 'evacuated', index: base } };
  }
  return {
    state: {
      ...state,
      config: { index, entries: patchEntries(state.config.entries, delta) },
      deltas: [...state.deltas, delta].slice(-DELTA_HISTORY),
    },
    result: { result: 'evacuated', index },
  };
}

function applyDepart(state: ControlState, { records }: DepartCommand, index: number): Applied {
  const departures = addDepartures(state.departures, records);
  return departures === null
    ? { state, result: { result: 'full' } }
    : { state: { ...state, departures }, result: { result: 'departed', index } };
}

function applyForgetDepartures(state: ControlState, command: ForgetDeparturesCommand): Applied {
  const departures = dropDepartures(state.departures, command.departures);
  return { state: { ...state, departures }, result: { result: 'done' } };
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
  evacuate: applyEvacuate,
  depart: applyDepart,
  forgetDepartures: applyForgetDepartures,
  noop: (state) => ({ state, result: { result: 'done' } }),
};

/** Applies a committed command. The replicated state changes nowhere else. */
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
 * Deltas from an index to the current configuration. Returns one snapshot instead if they are no longer kept, or if
 * the current configuration was received from another source, so that they don't reach it.
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

/** Merges two consecutive deltas into one; null if the second doesn't start where the first ends. */
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
