/** The directory of processes. Its records are merged by (incarnation, version). */
import type { MemberRecord } from '../protocol/index.js';

/** All known members by id. Each change creates a new map. */
export type Directory = ReadonlyMap<string, MemberRecord>;

const STATUS_ORDER = { serving: 0, leaving: 1, gone: 2 } as const;

/**
 * Whether a record is newer than another one of the same id.
 *
 * A member that others declared `gone` refutes that by announcing itself with a higher version. Within one version the
 * later status wins, so that a delayed `serving` can't override a `gone`.
 */
export function isNewerRecord(record: MemberRecord, known: MemberRecord | undefined): boolean {
  if (known === undefined) {
    return true;
  }
  if (record.incarnation !== known.incarnation) {
    return record.incarnation > known.incarnation;
  }
  if (record.version !== known.version) {
    return record.version > known.version;
  }
  return STATUS_ORDER[record.status] > STATUS_ORDER[known.status];
}

/** Merges records; `changed` holds those that are newer than the known ones. */
export function mergeRecords(
  directory: Directory,
  records: readonly MemberRecord[],
): { readonly directory: Directory; readonly changed: readonly MemberRecord[] } {
  const changed = records.filter((record) => isNewerRecord(record, directory.get(record.id)));
  if (changed.length === 0) {
    return { directory, changed };
  }
  const next = new Map(directory);
  changed.forEach((record) => {
    if (isNewerRecord(record, next.get(record.id))) {
      next.set(record.id, record);
    }
  });
  return { directory: next, changed };
}
