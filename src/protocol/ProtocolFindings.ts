/** Findings: problems in an input, each with its location, that are collected and reported together. */

/** A problem in an input. */
export interface Finding {
  /** Location: a path in the manifest, a flag or an environment variable. */
  readonly place: string;
  /** Line in the source file, counted from 1; only if the input came from a file. */
  readonly line?: number;
  /** Column in the source file, counted from 1. */
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

/** Formats a finding as a line of text, `line:column place: message`. */
export function formatFinding(finding: Finding): string {
  const at = finding.line === undefined ? '' : `${finding.line}:${finding.column ?? 1} `;
  return `${at}${finding.place}: ${finding.message}`;
}
