/** Waits until an accepted entry of the log is held by more disks than may be lost at once. */
import { setTimeout as delay } from 'node:timers/promises';
import { votersWithEntry } from '../coordination/index.js';
import type { DaemonConsensus } from './DaemonConsensus.js';

/** How long an accepted entry may be held by too few disks before its sender is asked to resend, ms. */
const HOLDERS_TIMEOUT_MS = 800;

/** Interval at which the number of disks that hold it is checked, ms. */
const HOLDERS_POLL_MS = 10;

/** Reason given to the sender of an entry that too few disks hold. */
export const TOO_FEW_DISKS = 'too few disks hold it; submit again';

/** Dependencies of {@link waitForHolders}. */
export interface HoldersOptions {
  readonly consensus: Pick<DaemonConsensus, 'state'>;
  readonly now: () => number;
  readonly lossesBorne: number;
}

/**
 * Resolves with true once more voters' disks hold the entry at `index` than may be lost at once, with false after
 * {@link HOLDERS_TIMEOUT_MS}. A majority is too few while the founders are the only voters and the others haven't
 * joined them yet.
 */
export async function waitForHolders(
  { consensus, now, lossesBorne }: HoldersOptions,
  index: number,
): Promise<boolean> {
  const end = now() + HOLDERS_TIMEOUT_MS;
  const isHeld = (): boolean => {
    const { state } = consensus;
    const needed = Math.min(lossesBorne + 1, state.members.voters.length);
    return votersWithEntry(state, index).length >= needed;
  };
  while (!isHeld()) {
    if (now() > end) {
      return false;
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(HOLDERS_POLL_MS);
  }
  return true;
}
