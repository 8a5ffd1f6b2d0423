/** Parses the TAP output of a test run and compares it with the list of known failures. */

/** A test that is known to fail; a line of KNOWN-RED.txt is `name | cause | issue`. */
export interface KnownFailure {
  readonly name: string;
  readonly cause: string;
  readonly issue: string;
}

/** Results of a run. */
export interface UnitResults {
  /** Names of all tests and suites. */
  readonly seen: ReadonlySet<string>;
  /** Names of tests that failed themselves, without suites that failed only because of a test in them. */
  readonly failed: ReadonlySet<string>;
}

/** Whether a run counts as passed, and the lines to print. */
export interface UnitVerdict {
  readonly ok: boolean;
  readonly lines: readonly string[];
}

const RESULT = /^\s*(not )?ok \d+ - (.*?)(?: # .*)?$/;

/** Marks a suite that failed only because of its tests, in the YAML block after its result line. */
const SUBTESTS_FAILED = "failureType: 'subtestsFailed'";

/** Parses the text of KNOWN-RED.txt; empty lines are ignored. */
export function parseKnownFailures(text: string): readonly KnownFailure[] {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line) => {
      const [name = '', cause = '', issue = ''] = line.split('|').map((part) => part.trim());
      return { name, cause, issue };
    });
}

/** Parses the TAP output of the Node.js test runner. */
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

/** Evaluates a run: only known tests may fail, and each known name must be that of a test. */
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
