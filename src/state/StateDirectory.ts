/** The directory: which processes there are. Records merge by (incarnation, version). */
import type { MemberRecord } from '../protocol/index.js';

/** All known members by id. Replaced whole at each change. */
export type Directory = ReadonlyMap<string, MemberRecord>;

const STATUS_ORDER = { serving: 0, leaving: 1, gone: 2 } as const;

/**
 * Tells whether a record is newer than another of the same id.
 *
 * A member that others declared `gone` refutes it by announcing itself with a higher version;
 * within one version the later stage of life wins, so a late `serving` can't undo a `gone`.
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

/** Merges records; `changed` holds those that were news. */
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
