/** Whether a stream that a caller got is made of whole events of its endpoints, in order and none twice. */
import type { ReadAnswer } from './FuzzReader.js';

/** What one attempt's endpoint sent of a stream. */
export interface FuzzStreamPart {
  /** Event after which the endpoint was told to go on; null for the begin. */
  readonly resumedAfter: string | null;
  readonly answer: ReadAnswer;
}

/** What a caller got of a stream. */
export interface FuzzReceivedStream {
  readonly body: Buffer;
  readonly isComplete: boolean;
}

const EVENT_END = Buffer.from('\n\n');

const ID_LINE = /^id(?:: ?(.*))?$/;

/** Places behind each whole event of a body, and its begin. */
export function eventEnds(body: Buffer): readonly number[] {
  const ends = [0];
  let at = body.indexOf(EVENT_END);
  while (at >= 0) {
    ends.push(at + EVENT_END.length);
    at = body.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return ends;
}

/** Id of the last of some whole events; null where it has none, or more than one. */
export function lastEventIdOf(events: Buffer): string | null {
  const ends = eventEnds(events);
  const last = events.subarray(ends.at(-2) ?? 0).toString('latin1');
  const ids = last.split('\n').flatMap((line) => {
    const match = ID_LINE.exec(line);
    return match === null ? [] : [(match[1] ?? '').trim()];
  });
  return ids.length === 1 ? (ids[0] ?? null) : null;
}

/** What is to be explained, and by what. */
interface StreamMatch {
  readonly parts: readonly FuzzStreamPart[];
  readonly got: FuzzReceivedStream;
  readonly hasSameHead: (answer: ReadAnswer) => boolean;
}

/** Where the search stands: parts and bytes that are used up, and the event after which the next part goes on. */
interface SearchPosition {
  readonly part: number;
  readonly at: number;
  readonly lastEvent: string | null;
}

/** Whether the rest of what a caller got is made of the rest of the parts. */
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
      const mayGoOn = end === 0 || (hasValidHead && last !== null);
      return mayGoOn && canAssemble(match, { part: i + 1, at: at + end, lastEvent: last });
    });
  });
}

/**
 * Whether attempts explain what a caller got: a beginning of each that ends with an event, each next one told to go
 * on after it, and a whole stream only where the last attempt's is whole and was taken to its end. The first one's
 * head is that of the stream.
 */
export function canAssembleStream(
  parts: readonly FuzzStreamPart[],
  got: FuzzReceivedStream,
  callersLastEvent: string | null,
  hasSameHead: (answer: ReadAnswer) => boolean,
): boolean {
  const begin = { part: 0, at: 0, lastEvent: callersLastEvent };
  return canAssemble({ parts, got, hasSameHead }, begin);
}
