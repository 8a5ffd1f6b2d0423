/**
 * Membership as a control process maintains it. Each entry and endpoint process is attached to one control
 * process, which renews the member's lease while their link is alive and informs the other control processes.
 * Only changes are sent, so the cost depends on joins and leaves and not on the number of members.
 */
import type { HelloReply, MemberRecord } from '../protocol/index.js';
import { mergeRecords, type Departures, type Directory } from '../state/index.js';

/** A member without contact for this long is declared gone, unless its record has its own `leaseMs`. In ms. */
export const MEMBER_LEASE_MS = 3_000;

/** How long the record of a gone member is kept, so that late messages are recognized as old. In ms. */
export const TOMBSTONE_MS = 600_000;

/**
 * How late a departure may arrive that doesn't name its incarnation, ms: longer than a call waits for a partition to
 * heal. It isn't taken for a new incarnation of the endpoint that this process has known for less.
 */
export const LATE_DEPARTURE_MS = 15_000;

/** Time after which a control process that has started knows all living endpoints by their heartbeats, ms. */
const DIRECTORY_SETTLED_MS = 5_000;

/** Members as one control process knows them. */
export interface MembershipState {
  readonly directory: Directory;
  /** Members attached here, with the time of the last contact, ms. */
  readonly attached: ReadonlyMap<string, number>;
  /** Id of the control process that reported a member. */
  readonly reportedBy: ReadonlyMap<string, string>;
  /** Time at which members were found to be gone, ms. */
  readonly goneAt: ReadonlyMap<string, number>;
  /** Time at which a member's incarnation replaced an earlier one, ms. */
  readonly replacedAt: ReadonlyMap<string, number>;
  /** Acknowledged departures, as the log has them. Their records outlast {@link TOMBSTONE_MS}. */
  readonly departures: Departures;
}

/** Inputs of the membership. */
export type MembershipInput =
  | { readonly type: 'hello'; readonly record: MemberRecord }
  | { readonly type: 'announce'; readonly record: MemberRecord }
  | { readonly type: 'heard'; readonly ids: readonly string[] }
  | { readonly type: 'peer'; readonly from: string; readonly records: readonly MemberRecord[] }
  | {
      /** All members attached to a peer, sent when the link to it is new. */
      readonly type: 'peerFull';
      readonly from: string;
      readonly records: readonly MemberRecord[];
    }
  /** The log's departures have changed. */
  | { readonly type: 'departures'; readonly departures: Departures }
  | { readonly type: 'tick' };

/** Outputs of the membership. */
export type MembershipOutput =
  | { readonly type: 'hello'; readonly id: string; readonly reply: HelloReply }
  /** Updates for the members attached here and, if `origin`, for the other control processes. */
  | {
      readonly type: 'publish';
      readonly records: readonly MemberRecord[];
      readonly origin: boolean;
    };

/** New state and outputs of a step. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly outputs: readonly MembershipOutput[];
}

/** Initial state without members. */
export const EMPTY_MEMBERSHIP: MembershipState = {
  directory: new Map(),
  attached: new Map(),
  reportedBy: new Map(),
  goneAt: new Map(),
  replacedAt: new Map(),
  departures: {},
};

function merge(
  state: MembershipState,
  records: readonly MemberRecord[],
  from: string | null,
  now: number,
): MembershipStep {
  const { directory, changed } = mergeRecords(state.directory, records);
  if (changed.length === 0) {
    return { state, outputs: [] };
  }
  const reportedBy = new Map(state.reportedBy);
  const attached = new Map(state.attached);
  const goneAt = new Map(state.goneAt);
  const replacedAt = new Map(state.replacedAt);
  changed.forEach(({ id, incarnation, status }) => {
    if (incarnation > (state.directory.get(id)?.incarnation ?? incarnation)) {
      replacedAt.set(id, now);
    }
    if (from !== null) {
      reportedBy.set(id, from);
      attached.delete(id);
    }
    if (status === 'gone') {
      goneAt.set(id, now);
      attached.delete(id);
    } else {
      goneAt.delete(id);
    }
  });
  return {
    state: { ...state, directory, reportedBy, attached, goneAt, replacedAt },
    outputs: [{ type: 'publish', records: changed, origin: from === null }],
  };
}

/**
 * Attaches a member.
 *
 * A process that restarts on a host whose clock was set back has a lower incarnation than before, and its
 * records would lose against the old ones. The reply therefore names the lowest incarnation that wins; the
 * process adopts it and sends `hello` again.
 */
function onHello(
  state: MembershipState,
  { record }: Extract<MembershipInput, { type: 'hello' }>,
  now: number,
): MembershipStep {
  const known = state.directory.get(record.id);
  const conflicts =
    known !== undefined &&
    (known.incarnation > record.incarnation ||
      (known.incarnation === record.incarnation && known.address !== record.address));
  const reply: HelloReply = {
    accepted: !conflicts,
    leastIncarnation: (known?.incarnation ?? 0) + 1,
  };
  const hello: MembershipOutput = { type: 'hello', id: record.id, reply };
  if (conflicts) {
    return { state, outputs: [hello] };
  }
  const merged = merge(state, [record], null, now);
  const reportedBy = new Map(merged.state.reportedBy);
  reportedBy.delete(record.id);
  const attached = new Map(merged.state.attached);
  // A late record of a member that is gone renews no lease.
  if (merged.state.directory.get(record.id)?.status !== 'gone') {
    attached.set(record.id, now);
  }
  return { state: { ...merged.state, attached, reportedBy }, outputs: [hello, ...merged.outputs] };
}

/**
 * Merges a peer's full list. Members that the peer had reported and no longer lists are gone, except those
 * with a lease of their own (`leaseMs`), which announce themselves by heartbeats.
 *
 * A control process that has restarted lists an endpoint only after the endpoint's next heartbeat. Without
 * the exception, a third of a service's endpoints would be gone for a second after each restart. Such members
 * are attached here instead, and are gone only if their own lease expires.
 */
function onPeerFull(
  state: MembershipState,
  { from, records }: Extract<MembershipInput, { type: 'peerFull' }>,
  now: number,
): MembershipStep {
  const listed = new Set(records.map(({ id }) => id));
  const missing = [...state.reportedBy]
    .filter(([id, peer]) => peer === from && !listed.has(id))
    .map(([id]) => state.directory.get(id))
    .filter((record): record is MemberRecord => record !== undefined && record.status !== 'gone');
  const departed = missing
    .filter(({ leaseMs }) => leaseMs === undefined)
    .map((record): MemberRecord => ({ ...record, status: 'gone' }));
  const reportedBy = new Map(state.reportedBy);
  const attached = new Map(state.attached);
  missing
    .filter(({ leaseMs }) => leaseMs !== undefined)
    .forEach(({ id }) => {
      reportedBy.delete(id);
      attached.set(id, now);
    });
  return merge({ ...state, reportedBy, attached }, [...records, ...departed], from, now);
}

function dropOldReplacements(state: MembershipState, now: number): MembershipState {
  const replacedAt = [...state.replacedAt].filter(([, at]) => now - at <= LATE_DEPARTURE_MS);
  return replacedAt.length === state.replacedAt.size
    ? state
    : { ...state, replacedAt: new Map(replacedAt) };
}

/**
 * Declares members gone whose lease has expired by the local monotonic clock. After a freeze all leases look
 * expired, so the caller inputs `heard` for open links before `tick`.
 */
function onTick(state: MembershipState, now: number): MembershipStep {
  const expired = [...state.attached]
    .map(([id, heardAt]) => ({ record: state.directory.get(id), heardAt }))
    .filter(({ record, heardAt }) => now - heardAt > (record?.leaseMs ?? MEMBER_LEASE_MS))
    .map(({ record }) => record)
    .filter((record): record is MemberRecord => record !== undefined)
    .map((record): MemberRecord => ({ ...record, status: 'gone' }));
  const step = merge(dropOldReplacements(state, now), expired, null, now);
  const expiredTombstones = [...step.state.goneAt].filter(
    ([id, at]) => now - at > TOMBSTONE_MS && !Object.hasOwn(state.departures, id),
  );
  if (expiredTombstones.length === 0) {
    return step;
  }
  const directory = new Map(step.state.directory);
  const goneAt = new Map(step.state.goneAt);
  const reportedBy = new Map(step.state.reportedBy);
  expiredTombstones.forEach(([id]) => {
    directory.delete(id);
    goneAt.delete(id);
    reportedBy.delete(id);
  });
  return { ...step, state: { ...step.state, directory, goneAt, reportedBy } };
}

/**
 * Merges the departures of the log, which every control process reads itself. Members that were leaving when their
 * departure was dropped from the log, and that nobody has heard from since a restart, are gone.
 */
function onDepartures(
  state: MembershipState,
  { departures }: Extract<MembershipInput, { type: 'departures' }>,
  now: number,
): MembershipStep {
  const abandoned = Object.keys(state.departures)
    .filter((id) => !Object.hasOwn(departures, id))
    .filter((id) => !state.attached.has(id) && !state.reportedBy.has(id))
    .map((id) => state.directory.get(id))
    .filter((record): record is MemberRecord => record?.status === 'leaving')
    .map((record): MemberRecord => ({ ...record, status: 'gone' }));
  const changed = Object.values(departures).filter(
    (record) => state.departures[record.id] !== record,
  );
  const { state: merged, outputs } = merge(state, [...changed, ...abandoned], null, now);
  return {
    state: { ...merged, departures },
    outputs: outputs.map((output) =>
      output.type === 'publish' ? { ...output, origin: false } : output,
    ),
  };
}

function onHeard(state: MembershipState, ids: readonly string[], now: number): MembershipStep {
  const attached = new Map(state.attached);
  ids.filter((id) => attached.has(id)).forEach((id) => attached.set(id, now));
  return { state: { ...state, attached }, outputs: [] };
}

type Handlers = {
  readonly [T in MembershipInput['type']]: (
    state: MembershipState,
    input: Extract<MembershipInput, { type: T }>,
    now: number,
  ) => MembershipStep;
};

const HANDLERS: Handlers = {
  hello: onHello,
  announce: (state, { record }, now) => merge(state, [record], null, now),
  heard: (state, { ids }, now) => onHeard(state, ids, now),
  peer: (state, { from, records }, now) => merge(state, records, from, now),
  peerFull: onPeerFull,
  departures: onDepartures,
  tick: (state, _input, now) => onTick(state, now),
};

/** Applies one input to the membership of a control process. */
export function stepMembership(
  state: MembershipState,
  input: MembershipInput,
  now: number,
): MembershipStep {
  const handler = HANDLERS[input.type] as (
    state: MembershipState,
    input: MembershipInput,
    now: number,
  ) => MembershipStep;
  return handler(state, input, now);
}

/**
 * The incarnation that a departure refers to which names none; null if that can't be told. It may be a late one of an
 * earlier incarnation, and a process that has just started may not know the current one yet.
 *
 * @param upMs How long this process has been running, ms.
 */
export function departingIncarnation(
  { directory, replacedAt }: MembershipState,
  id: string,
  now: number,
  upMs: number,
): number | null {
  const known = directory.get(id);
  const at = replacedAt.get(id);
  const mayBeLate = at !== undefined && now - at <= LATE_DEPARTURE_MS;
  const mayBeOutdated = known?.status === 'gone' && upMs < DIRECTORY_SETTLED_MS;
  return known === undefined || mayBeLate || mayBeOutdated ? null : known.incarnation;
}

/** Records of the members attached here, sent to a peer when the link to it is new. */
export function attachedRecords(state: MembershipState): readonly MemberRecord[] {
  return [...state.attached.keys()]
    .map((id) => state.directory.get(id))
    .filter((record): record is MemberRecord => record !== undefined);
}
