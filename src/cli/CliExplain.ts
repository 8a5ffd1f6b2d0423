/** Finds the cause of a request's result by joining log lines by request, host and time. Pure functions. */
import * as z from 'zod';

/** A log line of any process. */
export type LogLine = Readonly<Record<string, unknown>> & {
  readonly time: string;
  readonly id: string;
  readonly event: string;
};

const lineSchema = z.looseObject({ time: z.string(), id: z.string(), event: z.string() });

/** Log lines of a request and the conclusion drawn from them. */
export interface Explanation {
  readonly request: string;
  /** Lines of the request itself, ordered by time. */
  readonly lines: readonly LogLine[];
  /** Related lines of the same host or of a coordinator shortly before the request ended. */
  readonly context: readonly LogLine[];
  readonly conclusion: string;
}

/** Maximum age of context lines at the end of a request, ms. */
const CONTEXT_MS = 3_000;

/** Events of a host or a group that may explain the result of a request. */
const CONTEXT_EVENTS = new Set(['places', 'unproven', 'map', 'group_reset', 'lease']);

/** Parses the log lines in a text; skips prefixes before a line's JSON object, and lines without one. */
export function parseLog(text: string): readonly LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    if (start < 0) {
      return [];
    }
    try {
      const parsed = lineSchema.safeParse(JSON.parse(line.slice(start)));
      return parsed.success ? [parsed.data] : [];
    } catch {
      // Other text between the log lines, or a truncated line.
      return [];
    }
  });
}

function byTime(a: LogLine, b: LogLine): number {
  return Date.parse(a.time) - Date.parse(b.time);
}

/** The last line of an event, in lines ordered by time. */
function lastOf(context: readonly LogLine[], event: string): LogLine | undefined {
  return context.filter((line) => line.event === event).at(-1);
}

function describeSlots(context: readonly LogLine[]): string {
  const places = lastOf(context, 'places');
  if (places === undefined) {
    return 'no line shows the state of its group; look further back for "places" on this host';
  }
  const { group, open, own, allowance, waiting, passMs, skew } = places;
  const state = `${String(own)} of ${String(allowance)} slots in use, ${String(waiting)} waiting`;
  if (open === false) {
    return `group ${String(group)} was not running: a rank was unreachable, or it was held`;
  }
  return Number(own) < Number(allowance)
    ? `group ${String(group)} still had free slots in its last "places" line (${state}); no line shows a later ` +
        'change: look for a rank whose "attempt" lines blame another, or whose host was cut off just before'
    : `group ${String(group)} was full for this host: ${state}, passes of ${String(passMs)} ms, ` +
        `skew ${String(skew)}`;
}

function describePasses(context: readonly LogLine[]): string {
  const places = lastOf(context, 'places');
  return places === undefined
    ? 'no line shows its passes'
    : `passes of ${String(places.passMs)} ms, skew ${String(places.skew)} shortly before`;
}

type Describer = (
  answer: LogLine,
  lines: readonly LogLine[],
  context: readonly LogLine[],
) => string;

function lastAttempt(lines: readonly LogLine[]): string {
  const attempt = lastOf(lines, 'attempt');
  return attempt === undefined
    ? 'no attempt failed before'
    : `${String(attempt.endpoint)} failed last (${String(attempt.failure)}: ${String(attempt.reason)}), then ` +
        `"${String(attempt.verdict)}"`;
}

/** Why a quarantined request was not sent again; empty if it isn't quarantined. */
function describeQuarantine(lines: readonly LogLine[]): string {
  const held = lastOf(lines, 'held');
  return held === undefined
    ? ''
    : `; not sent to another endpoint, since ${String(held.ends)} endpoints have crashed on it ` +
        `(look for "endpoint_ended" lines with ${String(held.digest)})`;
}

/** Why no endpoint had a send slot for a request in time; null unless its last "turn" line says so. */
function describeSendSlot(lines: readonly LogLine[]): string | null {
  const turn = lastOf(lines, 'turn');
  return turn?.endpoint !== null
    ? null
    : `no endpoint of its service accepts a request within ${String(turn.waitMs)} ms: they have rate limits, or ` +
        'asked for a backoff (look for "limit" and "rest" lines of this host)';
}

/** Says so if an answer's head came from the HTTP library instead of the endpoint or an error of this process. */
function describeHead({ status, headOf }: LogLine): string {
  return headOf === 'library'
    ? `; its head, with status ${String(status)}, is neither the endpoint's nor an error of this host`
    : '';
}

/** Describes the outcome of a request, by its name in the log. */
const DESCRIBERS: Readonly<Record<string, Describer>> = {
  refused: ({ attempts }, lines, context) =>
    attempts === 0
      ? `refused without being sent: ${describeSendSlot(lines) ?? describeSlots(context)}`
      : `refused after ${String(attempts)} attempts that were not run: ${lastAttempt(lines)}`,
  quarantined: (_answer, lines) => `refused and not run${describeQuarantine(lines)}`,
  cut: (_answer, lines) =>
    `broken off in the middle: ${lastAttempt(lines)}${describeQuarantine(lines)}`,
  failed: (_answer, lines) =>
    `failed, and may have run: ${lastAttempt(lines)}${describeQuarantine(lines)}`,
  passed: (_answer, lines) => `the endpoint's own failure was passed on: ${lastAttempt(lines)}`,
  timeout: (_answer, lines, context) =>
    `no complete answer by its deadline: ${lastAttempt(lines)}; ${describeSlots(context)}`,
  callerGone: () => 'its caller disconnected before the answer was complete',
  whole: (answer, lines, context) => {
    const { firstMs, pauseMs, attempts } = answer;
    return (
      `answered completely, first byte after ${String(firstMs)} ms, longest pause ${String(pauseMs)} ms, ` +
      `${String(attempts)} attempt(s)${attempts === 1 ? '' : ` (${lastAttempt(lines)})`}; ` +
      `${describePasses(context)}${describeHead(answer)}`
    );
  },
};

function conclude(lines: readonly LogLine[], context: readonly LogLine[]): string {
  const refusal = lastOf(lines, 'refuse');
  if (refusal !== undefined) {
    return `refused when it was read: ${String(refusal.code)}, ${String(refusal.reason)}`;
  }
  const answer = lastOf(lines, 'answer');
  if (answer === undefined) {
    return lines.length === 0
      ? 'no line has this id: it reached no process whose log was read'
      : 'no line shows its end: its process was killed, or the log stops before';
  }
  const describe = DESCRIBERS[String(answer.outcome)];
  return describe === undefined
    ? `ended as "${String(answer.outcome)}"`
    : describe(answer, lines, context);
}

/** Collects the log lines of a request and concludes the cause of its result. */
export function explainRequest(request: string, log: readonly LogLine[]): Explanation {
  const lines = log.filter((line) => line.request === request).sort(byTime);
  const hosts = new Set(lines.map(({ id }) => id));
  const end = Math.max(...lines.map(({ time }) => Date.parse(time)));
  const context = log
    .filter(({ event, id, time, role }) => {
      const age = end - Date.parse(time);
      const isRelated = hosts.has(id) || role === 'endpoint';
      return CONTEXT_EVENTS.has(event) && isRelated && age >= 0 && age < CONTEXT_MS;
    })
    .sort(byTime);
  return { request, lines, context, conclusion: conclude(lines, context) };
}

/** Fields that a line of the listing omits: they are printed before the others, or aren't informative. */
const OMITTED_FIELDS = new Set(['time', 'id', 'event', 'level', 'msg', 'role', 'request']);

function formatLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  return `${line.time}  ${line.id}  ${line.event}  ${fields.join(' ')}`;
}

/** Formats an explanation as text. */
export function formatExplanation({ request, lines, context, conclusion }: Explanation): string {
  return [
    `request ${request}`,
    ...lines.map((line) => `  ${formatLine(line)}`),
    ...(context.length === 0 ? [] : ['before its end']),
    ...context.map((line) => `  ${formatLine(line)}`),
    `cause: ${conclusion}`,
  ].join('\n');
}
