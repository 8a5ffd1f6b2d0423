/** Whether a stream that a caller got is made of whole events of its endpoints, in order and none twice. */
import type { ReadAnswer } from './FuzzReader.js';

/** What one attempt's endpoint sent of a stream. */
export interface FuzzStreamPart {
  /** Event after which the endpoint was told to go on; null for the begin. */
  readonly resumedAfter: string | null;
  readonly answer: ReadAnswer;
}

/** What a caller got of a stream. */
export interface FuzzStreamGot {
  readonly body: Buffer;
  readonly isWhole: boolean;
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
export function lastIdOf(events: Buffer): string | null {
  const ends = eventEnds(events);
  const last = events.subarray(ends.at(-2) ?? 0).toString('latin1');
  const ids = last.split('\n').flatMap((line) => {
    const match = ID_LINE.exec(line);
    return match === null ? [] : [(match[1] ?? '').trim()];
  });
  return ids.length === 1 ? (ids[0] ?? null) : null;
}

/** What is to be explained, and by what. */
interface Puzzle {
  readonly parts: readonly FuzzStreamPart[];
  readonly got: FuzzStreamGot;
  readonly bearsHead: (answer: ReadAnswer) => boolean;
}

/** Where the search stands: parts and bytes that are used up, and the event after which the next part goes on. */
interface Place {
  readonly part: number;
  readonly at: number;
  readonly lastEvent: string | null;
}

/** Whether the rest of what a caller got is made of the rest of the parts. */
function isExplained(puzzle: Puzzle, { part: from, at, lastEvent }: Place): boolean {
  const { parts, got, bearsHead } = puzzle;
  const rest = got.body.subarray(at);
  return parts.some(({ resumedAfter, answer }, i) => {
    if (i < from || resumedAfter !== lastEvent) {
      return false;
    }
    const mayBegin = at > 0 || bearsHead(answer);
    return eventEnds(answer.body).some((end) => {
      const events = answer.body.subarray(0, end);
      if (!rest.subarray(0, end).equals(events)) {
        return false;
      }
      const isEnd = answer.isWhole && end === answer.body.length;
      if (mayBegin && end === rest.length && (isEnd || !got.isWhole)) {
        return true;
      }
      const last = end === 0 ? lastEvent : lastIdOf(events);
      const mayGoOn = end === 0 || (mayBegin && last !== null);
      return mayGoOn && isExplained(puzzle, { part: i + 1, at: at + end, lastEvent: last });
    });
  });
}

/**
 * Whether attempts explain what a caller got: a beginning of each that ends with an event, each next one told to go
 * on after it, and a whole stream only where the last attempt's is whole and was taken to its end. The first one's
 * head is that of the stream.
 */
export function explainsStream(
  parts: readonly FuzzStreamPart[],
  got: FuzzStreamGot,
  callersLastEvent: string | null,
  bearsHead: (answer: ReadAnswer) => boolean,
): boolean {
  const begin = { part: 0, at: 0, lastEvent: callersLastEvent };
  return isExplained({ parts, got, bearsHead }, begin);
}
