import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { findLastEvent } from '../../index.js';

const readId = (event: Buffer): string | null => /^id: (.*)$/m.exec(event.toString())?.[1] ?? null;

function lastOf(...events: readonly string[]): ReturnType<typeof findLastEvent> {
  return findLastEvent(Buffer.from(events.map((event) => `${event}\n\n`).join('')), readId);
}

describe('findLastEvent', () => {
  // With the id of an earlier event, a stream would be resumed too early, and its caller would get events twice.
  it('returns no id if the last event has none, even if an earlier one has', () => {
    assert.deepEqual(lastOf('id: 1\ndata: a', 'data: b'), { id: null });
    assert.deepEqual(lastOf('data: a', 'id: 2\ndata: b'), { id: '2' });
  });

  it('skips comments', () => {
    assert.deepEqual(lastOf('id: 1\ndata: a', ': busy', ':\n: still'), { id: '1' });
    assert.equal(lastOf(': busy'), null);
  });
});
