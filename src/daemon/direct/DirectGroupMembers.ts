/** Sidecars of the members of a group. */
import type { DirectoryDelta, MemberRecord } from '../../protocol/index.js';
import { parseAddress, type Address } from '../../transport/index.js';

/** Addresses of the sidecars of a group, by rank. */
export class DirectGroupMembers {
  readonly #records = new Map<string, MemberRecord>();

  apply({ records }: DirectoryDelta): void {
    records.forEach((record) => this.#records.set(record.id, record));
  }

  get addresses(): ReadonlyMap<number, Address> {
    const found = new Map<number, Address>();
    this.#records.forEach(({ offer, address, status }) => {
      const rank = offer?.ranks?.[0];
      const parsed = parseAddress(address);
      if (rank !== undefined && parsed !== undefined && status === 'serving') {
        found.set(rank, parsed);
      }
    });
    return found;
  }
}
