import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MAX_JSON_VALUES, parseJson } from '../../index.js';

describe('parseJson', () => {
  // Guards against a text whose values take many times its size, and fill the heap.
  it('refuses a text with too many values', () => {
    const values = (count: number): string => `[${'1,'.repeat(count - 1)}1]`;
    assert.equal((parseJson(values(MAX_JSON_VALUES - 1)) as unknown[]).length, MAX_JSON_VALUES - 1);
    assert.throws(() => parseJson(values(MAX_JSON_VALUES)), RangeError);
    assert.throws(() => parseJson('[{'.repeat(MAX_JSON_VALUES)), RangeError);
    assert.throws(() => parseJson(`{${'"a":1,'.repeat(MAX_JSON_VALUES)}`), RangeError);
  });

  it('does not count what stands in strings', () => {
    const text = `\\",[{:`.repeat(MAX_JSON_VALUES);
    assert.equal(parseJson(`"${text}"`), text.replaceAll('\\"', '"'));
  });

  it('refuses a malformed text', () => {
    assert.throws(() => parseJson('{'), SyntaxError);
  });
});
