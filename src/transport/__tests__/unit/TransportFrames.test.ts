import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { findLastEvent } from '../../index.js';

const readId = (event: Buffer): string | null => /^id: (.*)$/m.exec(event.toString())?.[1] ?? null;

function lastOf(...events: readonly string[]): ReturnType<typeof findLastEvent> {
  return findLastEvent(Buffer.from(events.map((event) => `${event}\n\n`).join('')), readId);
}

describe('the last of some events', () => {
  // Guards against: a stream goes on after an earlier event than the last, which its caller then gets twice.
  it('has no id where it has none itself, whatever came before', () => {
    assert.deepEqual(lastOf('id: 1\ndata: a', 'data: b'), { id: null });
    assert.deepEqual(lastOf('data: a', 'id: 2\ndata: b'), { id: '2' });
  });

  it('is no comment', () => {
    assert.deepEqual(lastOf('id: 1\ndata: a', ': busy', ':\n: still'), { id: '1' });
    assert.equal(lastOf(': busy'), null);
  });
});
