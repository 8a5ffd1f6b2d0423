/**
 * The holder of a lease, one incarnation of a process, and what proves that this incarnation has terminated.
 */
import type { MemberRecord } from '../protocol/index.js';

/** One incarnation of a process. */
export interface LeaseHolder {
  readonly id: string;
  readonly incarnation: number;
}

/** Name of the holder in the log, `id@incarnation`. */
export function holderName({ id, incarnation }: LeaseHolder): string {
  return `${id}@${incarnation}`;
}

function parseHolderName(name: string): LeaseHolder {
  const at = name.lastIndexOf('@');
  return { id: name.slice(0, at), incarnation: Number(name.slice(at + 1)) };
}

/**
 * Whether the incarnation that holds a lease has terminated. A process that is only unreachable may be
 * partitioned or frozen, so its lease has to expire first.
 *
 * @param recordOf The newest record of a process, by its id.
 */
export function hasHolderTerminated(
  name: string,
  recordOf: (id: string) => MemberRecord | undefined,
): boolean {
  const { id, incarnation } = parseHolderName(name);
  const record = recordOf(id);
  if (record === undefined) {
    return false;
  }
  return (
    record.incarnation > incarnation ||
    (record.incarnation === incarnation && record.ended === true)
  );
}
