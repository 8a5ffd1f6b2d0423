/** Bodies of the answers that engines give in a soak run. Pure. */
import type { SoakAttempt } from './SoakTypes.js';

/** Number of events in every stream. */
export const STREAM_EVENTS = 12;

const EVENT_END = '\n\n';

/** Body of an engine's plain answer. */
export function plainAnswer(id: string): string {
  return `answer to ${id}`;
}

/** One event of an engine's stream. */
export function streamEvent(id: string, event: number): string {
  return `id: ${event}\ndata: ${id} token ${event}${EVENT_END}`;
}

/** Ids of the complete events in the received part of a stream; NaN for an event without one. */
export function eventIdsOf(body: string): readonly number[] {
  return body
    .split(EVENT_END)
    .slice(0, -1)
    .map((event) => Number(/^id: (\d+)\n/.exec(event)?.[1] ?? Number.NaN));
}

/** The complete body that an attempt has to receive; for a stream, all events after `lastEventId`. */
export function expectedBody({
  id,
  kind,
  lastEventId,
}: Pick<SoakAttempt, 'id' | 'kind' | 'lastEventId'>): string {
  if (kind !== 'stream') {
    return plainAnswer(id);
  }
  const remaining = Array.from(
    { length: STREAM_EVENTS - lastEventId },
    (_item, i) => lastEventId + i + 1,
  );
  return remaining.map((event) => streamEvent(id, event)).join('');
}
