/** Who holds a lease: a process in one of its lives; and what proves that this life is over. */
import type { MemberRecord } from '../protocol/index.js';

/** A process in one of its lives. */
export interface LeaseHolder {
  readonly id: string;
  readonly incarnation: number;
}

/** The holder's name in the log. */
export function holderName({ id, incarnation }: LeaseHolder): string {
  return `${id}@${incarnation}`;
}

function parseHolderName(name: string): LeaseHolder {
  const at = name.lastIndexOf('@');
  return { id: name.slice(0, at), incarnation: Number(name.slice(at + 1)) };
}

/**
 * Tells whether the life of a process that holds a lease is over. One that is merely not heard may be cut off or stand
 * still, and its lease is waited out.
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
