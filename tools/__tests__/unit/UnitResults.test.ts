import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { evaluateResults, parseKnownFailures, parseResults } from '../../UnitResults.js';

const TAP = `TAP version 13
# Subtest: a suite
    # Subtest: holds
    ok 1 - holds
      ---
      duration_ms: 1
      ...
    # Subtest: breaks
    not ok 2 - breaks
      ---
      failureType: 'testCodeFailure'
      ...
    1..2
not ok 1 - a suite
  ---
  failureType: 'subtestsFailed'
  ...
1..1
`;

const KNOWN = parseKnownFailures('breaks | a real fault | 12\n');

describe('evaluateResults', () => {
  it('fails a run with a test that is not known to fail', () => {
    const verdict = evaluateResults(parseResults(TAP), []);
    assert.deepEqual(verdict, { ok: false, lines: ['failed: breaks'] });
  });

  it('tolerates failures of known tests only, and reports their results', () => {
    const verdict = evaluateResults(parseResults(TAP), KNOWN);
    assert.equal(verdict.ok, true);
    assert.deepEqual(verdict.lines, [
      'known red, failed this time: breaks (a real fault, issue 12)',
    ]);
    const passed = evaluateResults(parseResults(TAP.replace('not ok 2', 'ok 2')), KNOWN);
    assert.match(passed.lines[0] ?? '', /passed this time/);
  });

  // When a test is renamed or deleted while its name stays in the list, nothing would detect that the fault
  // comes back, so a stale name fails the run.
  it('fails on a known name that no test has', () => {
    const verdict = evaluateResults(
      parseResults(TAP),
      parseKnownFailures('gone | x | 1\nbreaks | y | 2'),
    );
    assert.equal(verdict.ok, false);
    assert.match(verdict.lines[0] ?? '', /no test is named "gone"/);
  });
});
