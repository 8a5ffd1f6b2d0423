/**
 * What an entry host knows of the cold times of endpoints, and what makes a control process publish one. An endpoint
 * states its remaining cold time in its heartbeats; without a statement, the declared duration after a start counts.
 *
 * No clocks of different hosts are compared: the countdown starts when the entry host receives the record, so that a
 * delay only makes it end later.
 */
import type { MemberRecord } from '../protocol/index.js';

/** What is known of one incarnation of an endpoint. */
export interface ColdKnowledge {
  /** Version of the newest record. */
  readonly version: number;
  /** When the incarnation first appeared, ms; null for one in the first complete member list. */
  readonly appearedAt: number | null;
  /** End of the stated cold time, ms, -Infinity for an endpoint that states that it is warm; null without statement. */
  readonly statedEnd: number | null;
  /** When an evacuation of its zone ended after which nothing has been stated, ms; null for none. */
  readonly doubtedAt: number | null;
}

/** End of a cold time, and what it is based on. */
export interface ColdTime {
  /** ms; -Infinity for a warm endpoint. */
  readonly until: number;
  readonly source: 'stated' | 'appeared' | 'evacuation';
}

function statedEndOf(statedColdMs: number, now: number): number {
  return statedColdMs > 0 ? now + statedColdMs : -Infinity;
}

/**
 * Applies a record received now. A record that is not newer changes nothing: its cold time has been counting down
 * since it was first received. One without a statement leaves an earlier statement in force.
 */
export function applyColdRecord(
  known: ColdKnowledge | undefined,
  { version, statedColdMs }: Pick<MemberRecord, 'version' | 'statedColdMs'>,
  isFirstList: boolean,
  now: number,
): ColdKnowledge {
  if (known !== undefined && version <= known.version) {
    return known;
  }
  const { appearedAt, statedEnd, doubtedAt } = known ?? {
    appearedAt: isFirstList ? null : now,
    statedEnd: null,
    doubtedAt: null,
  };
  return statedColdMs === undefined
    ? { version, appearedAt, statedEnd, doubtedAt }
    : { version, appearedAt, statedEnd: statedEndOf(statedColdMs, now), doubtedAt: null };
}

/** Marks an endpoint as possibly cold after the end of an evacuation of its zone. */
export function doubtWarmth(known: ColdKnowledge, now: number): ColdKnowledge {
  return { ...known, doubtedAt: now };
}

/** The cold time of an endpoint; `startMs` is the declared duration after a start. */
export function coldTimeOf(known: ColdKnowledge, startMs: number): ColdTime {
  const { appearedAt, statedEnd, doubtedAt } = known;
  const assumedEnd = appearedAt === null ? -Infinity : appearedAt + startMs;
  const time: ColdTime =
    statedEnd === null
      ? { until: assumedEnd, source: 'appeared' }
      : { until: statedEnd, source: 'stated' };
  const doubtedEnd = doubtedAt === null ? -Infinity : doubtedAt + startMs;
  return doubtedEnd > time.until ? { until: doubtedEnd, source: 'evacuation' } : time;
}

/** Cold time that an incarnation has last stated to a control process. */
export interface ColdStatement {
  readonly incarnation: number;
  readonly version: number;
  /** ms; -Infinity for an endpoint that stated that it is warm. */
  readonly end: number;
}

/**
 * A statement whose end is later by up to this is the same cold time counting down, ms: heartbeats are delayed by
 * different times.
 */
const END_TOLERANCE_MS = 200;

/**
 * A statement in a heartbeat, and whether it has to be published; null if the heartbeat is old or states nothing new.
 *
 * The first heartbeat without a statement after the end of a stated cold time is published: processes that join later
 * would otherwise get the earlier record, and count the endpoint as cold for the whole time stated there.
 */
export function stepColdStatement(
  known: ColdStatement | undefined,
  { incarnation, version, statedColdMs }: MemberRecord,
  now: number,
): { readonly statement: ColdStatement; readonly isNews: boolean } | null {
  const isSame = known?.incarnation === incarnation;
  const isOld =
    known !== undefined && (isSame ? version <= known.version : incarnation < known.incarnation);
  if (isOld) {
    return null;
  }
  if (statedColdMs === undefined) {
    const hasExpired = isSame && known.end !== -Infinity && known.end <= now;
    return hasExpired
      ? { statement: { incarnation, version, end: -Infinity }, isNews: true }
      : null;
  }
  const end = statedEndOf(statedColdMs, now);
  const isEnded = isSame && end === -Infinity && known.end !== -Infinity;
  const isLater = !isSame || end > known.end + END_TOLERANCE_MS;
  return { statement: { incarnation, version, end }, isNews: isEnded || isLater };
}
