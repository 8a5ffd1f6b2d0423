/** Searches for a target that responds, trying several concurrently. */
import { setTimeout as delay } from 'node:timers/promises';
import type { TransportLink } from './TransportLink.js';
import type { LinkConnector, LinkTarget } from './TransportLinkConnector.js';

/**
 * The next target is tried after this time, or once the previous one has failed, ms: about ten round trips between
 * availability zones, so that an unreachable target costs little time and a near one is tried alone.
 */
const STAGGER_MS = 100;

/** A target that doesn't answer a ping within this time is skipped, ms. */
const PING_TIMEOUT_MS = 1_000;

/** Signals that end a search: `stop` only until the `onUp` of a link has started, `end` at any time. */
export interface RaceSignals {
  readonly stop: AbortSignal;
  readonly end: AbortSignal;
}

/** Waits until the next target may be tried. */
async function waitStagger(signal: AbortSignal): Promise<void> {
  await delay(STAGGER_MS, undefined, { signal, ref: false }).catch(() => undefined);
}

/**
 * Opens links to several targets and returns the first that is up; null if the search ended before.
 *
 * `stop` doesn't interrupt a link's `onUp`. Otherwise a peer that is registering this process would record it as
 * linked to itself, with a newer record than that of the peer that it stays linked to, and would later report it `gone`
 * to all. The wait for a peer that doesn't answer is limited by the timeout of that stage.
 */
export async function raceForLink(
  connector: LinkConnector,
  targets: readonly LinkTarget[],
  { stop, end }: RaceSignals,
): Promise<TransportLink | null> {
  const finished = new AbortController();
  const signal = AbortSignal.any([stop, end, finished.signal]);
  let found: TransportLink | null = null;
  // Links are brought up one at a time, so that only one peer registers this process.
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
