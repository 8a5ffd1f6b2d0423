/**
 * Membership as a control process keeps it. Each entry and endpoint process is attached to one
 * control process, which renews its lease as long as the link is heard and tells the others; only
 * changes travel, so the cost follows joins and leaves and not the number of members.
 */
import type { HelloReply, MemberRecord } from '../protocol/index.js';
import { mergeRecords, type Directory } from '../state/index.js';

/** A member whose link is silent for this long is declared gone. In ms. */
export const MEMBER_LEASE_MS = 3_000;

/** How long the record of a member that is gone is kept, against late messages. In ms. */
export const TOMBSTONE_MS = 600_000;

/** What one control process knows of the members. */
export interface MembershipState {
  readonly directory: Directory;
  /** Members attached here, with the time at which they were last heard, ms. */
  readonly attached: ReadonlyMap<string, number>;
  /** Which control process told us of a member. */
  readonly reportedBy: ReadonlyMap<string, string>;
  /** When members were seen to be gone, ms. */
  readonly goneAt: ReadonlyMap<string, number>;
}

/** What goes in. */
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
  | { readonly type: 'tick' };

/** What comes out. */
export type MembershipOutput =
  | { readonly type: 'hello'; readonly id: string; readonly reply: HelloReply }
  /** News for the members attached here, and for the other control processes if `origin`. */
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

/** Nobody known yet. */
export const EMPTY_MEMBERSHIP: MembershipState = {
  directory: new Map(),
  attached: new Map(),
  reportedBy: new Map(),
  goneAt: new Map(),
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
  changed.forEach(({ id, status }) => {
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
    state: { directory, reportedBy, attached, goneAt },
    outputs: [{ type: 'publish', records: changed, origin: from === null }],
  };
}

/**
 * Takes a member in.
 *
 * Failure: a process restarted on a host whose clock went back has a lower incarnation than the
 * one before. Symptom: its records lose against the dead one's. Enough: it is told the least
 * incarnation that wins, takes that one and says hello again.
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
  const attached = new Map(merged.state.attached).set(record.id, now);
  return { state: { ...merged.state, attached, reportedBy }, outputs: [hello, ...merged.outputs] };
}

/**
 * A peer's whole list: what it had told us before and no longer holds is gone, but for members that
 * announce themselves by heartbeats.
 *
 * Failure: a control process restarts empty, and its list lacks endpoints whose next heartbeat is
 * still to come. Symptom: a third of a service's endpoints is gone for a second after each restart.
 * Enough: such members are taken over here, and their own lease decides.
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

/**
 * Declares members gone whose lease ran out. It runs by the local monotonic clock: after a freeze
 * all leases look expired at once, so the caller feeds `heard` for open links before it ticks.
 */
function onTick(state: MembershipState, now: number): MembershipStep {
  const expired = [...state.attached]
    .map(([id, heardAt]) => ({ record: state.directory.get(id), heardAt }))
    .filter(({ record, heardAt }) => now - heardAt > (record?.leaseMs ?? MEMBER_LEASE_MS))
    .map(({ record }) => record)
    .filter((record): record is MemberRecord => record !== undefined)
    .map((record): MemberRecord => ({ ...record, status: 'gone' }));
  const step = merge(state, expired, null, now);
  const expiredTombstones = [...step.state.goneAt].filter(([, at]) => now - at > TOMBSTONE_MS);
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
  tick: (state, _input, now) => onTick(state, now),
};

/** One step of the membership of a control process. */
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

/** Members attached here: what a peer is told when the link to it is new. */
export function attachedRecords(state: MembershipState): readonly MemberRecord[] {
  return [...state.attached.keys()]
    .map((id) => state.directory.get(id))
    .filter((record): record is MemberRecord => record !== undefined);
}
