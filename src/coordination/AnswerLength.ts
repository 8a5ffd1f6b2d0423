/** How many tokens an answer is expected to have. */

/** What a request tells of its answer's length; null where it doesn't. */
export interface AnswerBounds {
  /** Most tokens that the caller allows. */
  readonly mostTokens: number | null;
  /** The caller's own guess: right in the middle, often far off. */
  readonly hintTokens: number | null;
}

/**
 * Tokens that an answer is expected to have, from the service's usual length.
 *
 * Load pattern: a group opens after an outage, and callers come back with half of their time left. Callers allow
 * several times what they get; taken for the length, that bound makes nearly all of them hopeless, and they are
 * refused for good while places are free. A guess counts half, on a scale of ratios: it is often off by several
 * times.
 */
export function expectAnswer({ mostTokens, hintTokens }: AnswerBounds, usual: number): number {
  const expected = hintTokens === null ? usual : Math.sqrt(Math.max(1, hintTokens) * usual);
  return Math.min(expected, mostTokens ?? Infinity);
}
