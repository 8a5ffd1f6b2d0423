/** Looks for a target that answers, several side by side. */
import { setTimeout as delay } from 'node:timers/promises';
import type { TransportLink } from './TransportLink.js';
import type { LinkConnector, LinkTarget } from './TransportLinkConnector.js';

/**
 * The next target is tried too after this long, or once the one before has failed: some ten round trips between
 * AZs, so that one that is out of reach costs little, and one that is near is alone. In ms.
 */
const STAGGER_MS = 100;

/** A target that gives no sign of life for this long is left out of a search. In ms. */
const PING_TIMEOUT_MS = 1_000;

/** What ends a race: `stop` before a target takes the process in, `end` at any time. */
export interface RaceSignals {
  readonly stop: AbortSignal;
  readonly end: AbortSignal;
}

/** Lets the target before have its time. */
async function waitStagger(signal: AbortSignal): Promise<void> {
  await delay(STAGGER_MS, undefined, { signal, ref: false }).catch(() => undefined);
}

/**
 * The first link of several that is up; null where none came up before the search ended.
 *
 * Failure: a search is stopped while a peer takes this process in. Symptom: that peer counts the process as its
 * own, newer than the one that really has it, and calls it gone for all. Enough: what is being taken in is seen
 * through; a peer that hangs is bounded by the limit of that step.
 */
export async function raceForLink(
  connector: LinkConnector,
  targets: readonly LinkTarget[],
  { stop, end }: RaceSignals,
): Promise<TransportLink | null> {
  const finished = new AbortController();
  const signal = AbortSignal.any([stop, end, finished.signal]);
  let found: TransportLink | null = null;
  // One at a time is brought up, so that no two hubs count this process as theirs.
  let bringUpQueue = Promise.resolve();
  const bringUp = async (link: TransportLink): Promise<void> => {
    if (found === null && !signal.aborted && (await connector.bringUp(link, end))) {
      found = link;
      finished.abort();
    } else {
      link.close();
    }
  };
  const tryTarget = async (target: LinkTarget): Promise<void> => {
    const link = signal.aborted
      ? null
      : await connector.connectAndPing(target, PING_TIMEOUT_MS, signal);
    if (link !== null) {
      bringUpQueue = bringUpQueue.then(async () => bringUp(link));
      await bringUpQueue;
    }
  };
  let nextStart = Promise.resolve();
  const attempts = targets.map(async (target) => {
    const attempt = nextStart.then(async () => tryTarget(target));
    nextStart = nextStart.then(async () => Promise.race([attempt, waitStagger(signal)]));
    return attempt;
  });
  await Promise.all(attempts);
  return found;
}
