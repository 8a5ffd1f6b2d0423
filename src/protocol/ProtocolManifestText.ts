/** Parses a manifest from YAML or JSON text; every finding has a line and a column. */
import { LineCounter, parseDocument } from 'yaml';
import { FindingsError, type Finding } from './ProtocolFindings.js';
import { manifestSchema, type Manifest } from './ProtocolManifest.js';

interface SourcePosition {
  readonly line: number;
  readonly column: number;
}

type YamlDocument = ReturnType<typeof parseDocument>;

interface NodeWithRange {
  readonly range?: readonly [number, number, number] | null;
}

/** Position of the deepest existing node on a path, so that a missing key is reported at its parent. */
function findPosition(
  doc: YamlDocument,
  lines: LineCounter,
  path: readonly (string | number)[],
): SourcePosition {
  let reachable = path;
  let node = doc.getIn(reachable, true) as NodeWithRange | undefined;
  while (!node?.range && reachable.length > 0) {
    reachable = reachable.slice(0, -1);
    node = doc.getIn(reachable, true) as NodeWithRange | undefined;
  }
  const { line, col } = lines.linePos(node?.range?.[0] ?? 0);
  return { line, column: col };
}

function formatPath(path: readonly (string | number)[]): string {
  return path.reduce<string>(
    (text, part) =>
      typeof part === 'number' ? `${text}[${part}]` : `${text}${text === '' ? '' : '.'}${part}`,
    '',
  );
}

/**
 * Parses a valid manifest in JSON, in a fraction of the YAML parser's time. Returns undefined for any other input: the
 * YAML parser then finds the positions of its problems.
 */
function parseValidJson(text: string): Manifest | undefined {
  if (!text.trimStart().startsWith('{')) {
    return undefined;
  }
  try {
    return manifestSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/**
 * Parses and validates a manifest.
 *
 * @throws {FindingsError} with all findings, each with line and column.
 */
export function parseManifest(text: string): Manifest {
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  if (doc.errors.length > 0) {
    const findings = doc.errors.map((err): Finding => {
      const { line, col } = lines.linePos(err.pos[0]);
      return { place: 'syntax', line, column: col, message: err.message };
    });
    throw new FindingsError('manifest', findings);
  }
  const parsed = manifestSchema.safeParse(doc.toJS());
  if (parsed.success) {
    return parsed.data;
  }
  const findings = parsed.error.issues.map((issue): Finding => {
    const path = issue.path.map((part) => (typeof part === 'number' ? part : String(part)));
    return {
      place: formatPath(path) || 'manifest',
      ...findPosition(doc, lines, path),
      message: issue.message,
    };
  });
  throw new FindingsError('manifest', findings);
}

/**
 * Parses and validates a manifest like {@link parseManifest}, but faster if it is valid JSON. A duplicate key in such
 * JSON is not reported.
 *
 * @throws {FindingsError} with all findings, each with line and column.
 */
export function parseManifestQuickly(text: string): Manifest {
  return parseValidJson(text) ?? parseManifest(text);
}
