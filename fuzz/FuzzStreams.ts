/** Checks that a stream received by a caller consists of complete events of endpoints, in order and without repeats. */
import type { ReadAnswer } from './FuzzReader.js';

/** Part of a stream that the endpoint of one attempt sent. */
export interface FuzzStreamPart {
  /** Last-Event-Id of the request to the endpoint; null if it had none. */
  readonly resumedAfter: string | null;
  readonly answer: ReadAnswer;
}

/** Stream as a caller received it. */
export interface FuzzReceivedStream {
  readonly body: Buffer;
  readonly isComplete: boolean;
}

const EVENT_END = Buffer.from('\n\n');

const ID_LINE = /^id(?:: ?(.*))?$/;

/** Offset 0 and the offset after each complete event of a body. */
export function eventEnds(body: Buffer): readonly number[] {
  const ends = [0];
  let at = body.indexOf(EVENT_END);
  while (at >= 0) {
    ends.push(at + EVENT_END.length);
    at = body.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return ends;
}

/** Id of the last of some complete events; null if it has no id or more than one. */
export function lastEventIdOf(events: Buffer): string | null {
  const ends = eventEnds(events);
  const last = events.subarray(ends.at(-2) ?? 0).toString('latin1');
  const ids = last.split('\n').flatMap((line) => {
    const match = ID_LINE.exec(line);
    return match === null ? [] : [(match[1] ?? '').trim()];
  });
  return ids.length === 1 ? (ids[0] ?? null) : null;
}

/** A received stream and the parts from which it is to be assembled. */
interface StreamMatch {
  readonly parts: readonly FuzzStreamPart[];
  readonly got: FuzzReceivedStream;
  readonly hasSameHead: (answer: ReadAnswer) => boolean;
}

/** State of the search: number of parts and bytes that are used, and the id after which the next part resumes. */
interface SearchPosition {
  readonly part: number;
  readonly at: number;
  readonly lastEvent: string | null;
}

/** Whether the remaining bytes can be assembled from the remaining parts. */
function canAssemble(match: StreamMatch, { part: from, at, lastEvent }: SearchPosition): boolean {
  const { parts, got, hasSameHead } = match;
  const rest = got.body.subarray(at);
  return parts.some(({ resumedAfter, answer }, i) => {
    if (i < from || resumedAfter !== lastEvent) {
      return false;
    }
    const hasValidHead = at > 0 || hasSameHead(answer);
    return eventEnds(answer.body).some((end) => {
      const events = answer.body.subarray(0, end);
      if (!rest.subarray(0, end).equals(events)) {
        return false;
      }
      const isEnd = answer.isComplete && end === answer.body.length;
      if (hasValidHead && end === rest.length && (isEnd || !got.isComplete)) {
        return true;
      }
      const last = end === 0 ? lastEvent : lastEventIdOf(events);
      const mayContinue = end === 0 || (hasValidHead && last !== null);
      return mayContinue && canAssemble(match, { part: i + 1, at: at + end, lastEvent: last });
    });
  });
}

/**
 * Whether a received stream can be assembled from the parts that attempts sent. Each part contributes bytes from its
 * start to the end of an event, and the next one must have been requested after the last of these events. The head
 * must be that of the first part. A complete stream must end where a complete part ends.
 */
export function canAssembleStream(
  parts: readonly FuzzStreamPart[],
  got: FuzzReceivedStream,
  callersLastEvent: string | null,
  hasSameHead: (answer: ReadAnswer) => boolean,
): boolean {
  const start = { part: 0, at: 0, lastEvent: callersLastEvent };
  return canAssemble({ parts, got, hasSameHead }, start);
}
