/** Results of a test run in TAP, set against the tests that are known to fail. */

/** A test that is known to fail, as KNOWN-RED.txt lists it: `name | cause | issue`. */
export interface KnownFailure {
  readonly name: string;
  readonly cause: string;
  readonly issue: string;
}

/** What a run showed. */
export interface UnitResults {
  /** Names of all tests and suites. */
  readonly seen: ReadonlySet<string>;
  /** Names of tests that failed by themselves, not by what they contain. */
  readonly failed: ReadonlySet<string>;
}

/** What to say of a run, and whether it counts as passed. */
export interface UnitVerdict {
  readonly ok: boolean;
  readonly lines: readonly string[];
}

const RESULT = /^\s*(not )?ok \d+ - (.*?)(?: # .*)?$/;

/** A suite that failed because of its tests says so in the block behind its line. */
const SUBTESTS_FAILED = "failureType: 'subtestsFailed'";

/** Reads KNOWN-RED.txt; empty lines are left out. */
export function parseKnownFailures(text: string): readonly KnownFailure[] {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line) => {
      const [name = '', cause = '', issue = ''] = line.split('|').map((part) => part.trim());
      return { name, cause, issue };
    });
}

/** Reads the output of node's test runner. */
export function parseResults(tap: string): UnitResults {
  const seen = new Set<string>();
  const failed = new Set<string>();
  let last: string | null = null;
  tap.split('\n').forEach((line) => {
    const match = RESULT.exec(line);
    if (match !== null) {
      const name = match[2] ?? '';
      seen.add(name);
      last = match[1] === undefined ? null : name;
      if (last !== null) {
        failed.add(last);
      }
    } else if (last !== null && line.includes(SUBTESTS_FAILED)) {
      failed.delete(last);
    }
  });
  return { seen, failed };
}

/** Judges a run: only known tests may fail, and each known name must be that of a test. */
export function evaluateResults(results: UnitResults, known: readonly KnownFailure[]): UnitVerdict {
  const names = new Set(known.map(({ name }) => name));
  const reports = known.map(({ name, cause, issue }) => {
    if (!results.seen.has(name)) {
      return { ok: false, line: `KNOWN-RED.txt: no test is named "${name}"` };
    }
    const outcome = results.failed.has(name) ? 'failed' : 'passed';
    return {
      ok: true,
      line: `known red, ${outcome} this time: ${name} (${cause}, issue ${issue})`,
    };
  });
  const others = [...results.failed].filter((name) => !names.has(name));
  return {
    ok: others.length === 0 && reports.every(({ ok }) => ok),
    lines: [...reports.map(({ line }) => line), ...others.map((name) => `failed: ${name}`)],
  };
}
