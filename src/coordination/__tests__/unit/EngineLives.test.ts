import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { engineAnswered, engineEnded, FIRST_LIFE } from '../../EngineLives.js';

describe('lives of an engine', () => {
  it('end once for all that was in progress', () => {
    const first = engineEnded(FIRST_LIFE, 10, 50);
    assert.equal(first.life, 1);
    assert.equal(engineEnded(first, 40, 52).life, 1);
  });

  it('begin anew with an answer, or with another end, of what began after the end', () => {
    const first = engineEnded(FIRST_LIFE, 10, 50);
    assert.equal(engineAnswered(first, 49).life, 1);
    assert.equal(engineAnswered(first, 60).life, 2);
    assert.equal(engineEnded(first, 60, 70).life, 2);
    assert.equal(engineEnded(engineAnswered(first, 60), 61, 80).life, 2);
  });
});
