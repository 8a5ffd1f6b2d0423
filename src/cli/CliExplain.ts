/** From a request's id to its cause: joins log lines by request, host and time. Pure. */
import * as z from 'zod';

/** A log line as any process writes it. */
export type LogLine = Readonly<Record<string, unknown>> & {
  readonly time: string;
  readonly id: string;
  readonly event: string;
};

const lineSchema = z.looseObject({ time: z.string(), id: z.string(), event: z.string() });

/** What is known of a request. */
export interface Explanation {
  readonly request: string;
  /** Lines of the request itself, in order of time. */
  readonly lines: readonly LogLine[];
  /** Lines of the same host or of a coordinator shortly before its end that bear on it. */
  readonly context: readonly LogLine[];
  readonly conclusion: string;
}

/** Lines that are older than this at its end say nothing of a request, ms. */
const CONTEXT_MS = 3_000;

/** Lines of a host or a group that may explain what became of a request. */
const CONTEXT_EVENTS = new Set(['places', 'unproven', 'map', 'group_reset', 'lease']);

/** Finds the log lines in a text; what stands before a line's object, and other text, is left out. */
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
      // Other text between the lines, or a line that was cut off: nothing to be learned from it.
      return [];
    }
  });
}

function byTime(a: LogLine, b: LogLine): number {
  return Date.parse(a.time) - Date.parse(b.time);
}

/** The last line of an event before a request ended. */
function lastOf(context: readonly LogLine[], event: string): LogLine | undefined {
  return context.filter((line) => line.event === event).at(-1);
}

function describeSlots(context: readonly LogLine[]): string {
  const places = lastOf(context, 'places');
  if (places === undefined) {
    return 'no line tells the state of its group; look further back for "places" on this host';
  }
  const { group, open, own, allowance, waiting, passMs, skew } = places;
  const state = `${String(own)} of ${String(allowance)} places in use, ${String(waiting)} waiting`;
  if (open === false) {
    return `group ${String(group)} answered nothing: a rank was out of reach, or it was held`;
  }
  return Number(own) < Number(allowance)
    ? `group ${String(group)} still had places in its last line (${state}); what changed since is in none: ` +
        'look for a rank whose "attempt" lines blame another, or whose host was cut off just before'
    : `group ${String(group)} was full for this host: ${state}, passes of ${String(passMs)} ms, ` +
        `skew ${String(skew)}`;
}

function describePasses(context: readonly LogLine[]): string {
  const places = lastOf(context, 'places');
  return places === undefined
    ? 'no line tells of passes'
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

/** Why a request was not sent again, where it is held. */
function describeQuarantine(lines: readonly LogLine[]): string {
  const held = lastOf(lines, 'held');
  return held === undefined
    ? ''
    : `; sent to no other, for ${String(held.ends)} endpoints have ended under it ` +
        `(look for "endpoint_ended" lines with ${String(held.digest)})`;
}

/** What a request was told of endpoints that take nothing now; null where it was sent at once. */
function describeSendSlot(lines: readonly LogLine[]): string | null {
  const turn = lastOf(lines, 'turn');
  return turn?.endpoint !== null
    ? null
    : `no endpoint of its service takes a request within ${String(turn.waitMs)} ms: they have named limits, or ` +
        'want rest (look for "limit" and "rest" lines of this host)';
}

/** Says so where an answer's head was written neither for the endpoint nor for an error of this process. */
function describeHead({ status, headOf }: LogLine): string {
  return headOf === 'library'
    ? `; its head, with status ${String(status)}, is neither the endpoint's nor an error of this host`
    : '';
}

/** What an outcome means, by its name in the log. */
const DESCRIBERS: Readonly<Record<string, Describer>> = {
  refused: ({ attempts }, lines, context) =>
    attempts === 0
      ? `refused and never sent: ${describeSendSlot(lines) ?? describeSlots(context)}`
      : `refused after ${String(attempts)} attempts that were not run: ${lastAttempt(lines)}`,
  quarantined: (_answer, lines) => `refused and not run${describeQuarantine(lines)}`,
  cut: (_answer, lines) =>
    `broken off in the middle: ${lastAttempt(lines)}${describeQuarantine(lines)}`,
  failed: (_answer, lines) =>
    `failed, and may have run: ${lastAttempt(lines)}${describeQuarantine(lines)}`,
  passed: (_answer, lines) => `the endpoint's own failure was passed on: ${lastAttempt(lines)}`,
  timeout: (_answer, lines, context) =>
    `no whole answer by its deadline: ${lastAttempt(lines)}; ${describeSlots(context)}`,
  callerGone: () => 'its caller left before the answer was whole',
  whole: (answer, lines, context) => {
    const { firstMs, pauseMs, attempts } = answer;
    return (
      `answered whole, the first byte after ${String(firstMs)} ms, the longest pause ${String(pauseMs)} ms, ` +
      `${String(attempts)} attempt(s)${attempts === 1 ? '' : ` (${lastAttempt(lines)})`}; ` +
      `${describePasses(context)}${describeHead(answer)}`
    );
  },
};

function conclude(lines: readonly LogLine[], context: readonly LogLine[]): string {
  const refusal = lastOf(lines, 'refuse');
  if (refusal !== undefined) {
    return `refused as it was read: ${String(refusal.code)}, ${String(refusal.reason)}`;
  }
  const answer = lastOf(lines, 'answer');
  if (answer === undefined) {
    return lines.length === 0
      ? 'no line has this id: it reached no process whose log was given'
      : 'it has no end: its process was killed, or the log ends before it';
  }
  const describe = DESCRIBERS[String(answer.outcome)];
  return describe === undefined
    ? `ended as "${String(answer.outcome)}"`
    : describe(answer, lines, context);
}

/** Joins what the log tells of a request. */
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

/** Fields that each line of a listing leaves out: they stand before it, or say nothing. */
const OMITTED_FIELDS = new Set(['time', 'id', 'event', 'level', 'msg', 'role', 'request']);

function formatLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  return `${line.time}  ${line.id}  ${line.event}  ${fields.join(' ')}`;
}

/** An explanation as text for people. */
export function formatExplanation({ request, lines, context, conclusion }: Explanation): string {
  return [
    `request ${request}`,
    ...lines.map((line) => `  ${formatLine(line)}`),
    ...(context.length === 0 ? [] : ['before its end']),
    ...context.map((line) => `  ${formatLine(line)}`),
    `cause: ${conclusion}`,
  ].join('\n');
}
