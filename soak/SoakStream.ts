/** What engines of a soak run answer. Pure. */
import type { SoakAttempt } from './SoakTypes.js';

/** Events of every stream. */
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

/** Numbers of the whole events in what came of a stream. */
export function eventIdsOf(body: string): readonly number[] {
  return body
    .split(EVENT_END)
    .slice(0, -1)
    .map((event) => Number(/^id: (\d+)\n/.exec(event)?.[1] ?? Number.NaN));
}

/** The whole body that an attempt has to get: all events after the one that it named. */
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
