/** Findings: problems in input, each with its place, collected and reported together. */

/** One problem in an input. */
export interface Finding {
  /** Where it is: a path in the manifest, a flag or an environment variable. */
  readonly place: string;
  /** Line in the source file, from 1, where the input came from a file. */
  readonly line?: number;
  /** Column in the source file, from 1. */
  readonly column?: number;
  readonly message: string;
}

/** Thrown when an input has one or more findings; carries all of them. */
export class FindingsError extends Error {
  readonly #findings: readonly Finding[];

  constructor(subject: string, findings: readonly Finding[]) {
    super(`${subject}: ${findings.length} finding(s)`);
    this.name = 'FindingsError';
    this.#findings = findings;
  }

  get findings(): readonly Finding[] {
    return this.#findings;
  }
}

/** Formats one finding as a line for people, `line:column place: message`. */
export function formatFinding(finding: Finding): string {
  const at = finding.line === undefined ? '' : `${finding.line}:${finding.column ?? 1} `;
  return `${at}${finding.place}: ${finding.message}`;
}
