/** Parsing of JSON from clients, whose values take many times the memory of their text. */

/** Maximum number of values in one text. */
export const MAX_JSON_VALUES = 200_000;

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = '\\'.charCodeAt(0);

/** Characters that come before a value, or between two of them. */
const SEPARATORS: ReadonlySet<number> = new Set(
  ['[', '{', ',', ':'].map((char) => char.charCodeAt(0)),
);

/** Returns an upper bound on the number of values in a JSON text, also in one that is malformed. */
function countValues(text: string): number {
  let count = 1;
  let isInString = false;
  for (let i = 0; i < text.length; i += 1) {
    const code = text.charCodeAt(i);
    if (code === QUOTE) {
      isInString = !isInString;
    } else if (isInString && code === BACKSLASH) {
      i += 1;
    } else if (!isInString && SEPARATORS.has(code)) {
      count += 1;
    }
  }
  return count;
}

/**
 * Parses a JSON text.
 *
 * @throws {SyntaxError} if it is malformed.
 * @throws {RangeError} if it has more than {@link MAX_JSON_VALUES} values.
 */
export function parseJson(text: string): unknown {
  // A text has no more values than characters.
  if (text.length > MAX_JSON_VALUES && countValues(text) > MAX_JSON_VALUES) {
    throw new RangeError(`more than ${MAX_JSON_VALUES} values`);
  }
  return JSON.parse(text);
}
