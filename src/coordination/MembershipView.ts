/** The directory as an entry process receives it from its control process. */
import type { DirectoryDelta, MemberRecord } from '../protocol/index.js';
import { isNewerRecord } from '../state/index.js';

/** How long a member missing from a full list is still used. In ms. */
export const MISSING_GRACE_MS = 5_000;

/** A member, and since when full lists have lacked it, ms; null if the newest list contains it. */
export interface ViewedMember {
  readonly record: MemberRecord;
  readonly missingSince: number | null;
}

/** Members as an entry process knows them, by id. */
export type MembershipView = ReadonlyMap<string, ViewedMember>;

/**
 * Merges an update of the directory.
 *
 * Entry processes may attach to a restarted control process before the endpoints do; its full list then lacks
 * endpoints that serve, and calls would be refused because no endpoint is known. A member that a full list
 * lacks therefore stays in use for longer than it takes to attach again. In that time, an endpoint that is
 * really gone refuses or fails the first attempt.
 */
export function mergeDelta(
  view: MembershipView,
  delta: DirectoryDelta,
  now: number,
): MembershipView {
  const next = new Map(view);
  const listed = new Set(delta.records.map(({ id }) => id));
  if (delta.full) {
    view.forEach((member, id) => {
      if (!listed.has(id) && member.missingSince === null) {
        next.set(id, { ...member, missingSince: now });
      }
    });
  }
  delta.records.forEach((record) => {
    const known = next.get(record.id)?.record;
    if (isNewerRecord(record, known)) {
      next.set(record.id, { record, missingSince: null });
    } else if (known?.incarnation === record.incarnation && known.version === record.version) {
      next.set(record.id, { record: known, missingSince: null });
    }
  });
  return next;
}

/** Drops members that have been missing from full lists for longer than {@link MISSING_GRACE_MS}. */
export function pruneView(view: MembershipView, now: number): MembershipView {
  const stale = [...view].filter(
    ([, { missingSince }]) => missingSince !== null && now - missingSince > MISSING_GRACE_MS,
  );
  if (stale.length === 0) {
    return view;
  }
  const next = new Map(view);
  stale.forEach(([id]) => next.delete(id));
  return next;
}

/** Members that accept new requests. */
export function servingMembers(view: MembershipView): readonly MemberRecord[] {
  return [...view.values()]
    .map(({ record }) => record)
    .filter(({ status }) => status === 'serving');
}
