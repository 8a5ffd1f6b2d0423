/** Attributes late and missing answers to causes, from the log lines of entry processes. Pure functions. */
import type { LogLine } from './CliExplain.js';

/** Cause of a late or missing answer. */
export type LossCause =
  | 'configuration not proven'
  | 'host about to end'
  | 'group down'
  | 'no place in time'
  | 'refused with places free'
  | 'no endpoint'
  | 'endpoints want relief'
  | 'not run by endpoints'
  | 'held for the ends of endpoints'
  | 'stream broken off'
  | 'lost at an endpoint'
  | 'failed by the endpoint'
  | 'deadline passed'
  | 'caller left'
  | 'map behind the demand'
  | 'pause too long'
  | 'first event late';

/** Loss by cause, in answers: an unanswered request counts as 1, a late answer as {@link LATE_LOSS}. */
export type LossParts = Readonly<Partial<Record<LossCause, number>>>;

/** Loss of one time window. */
export interface LossWindow {
  /** Start, in seconds after the first line of the log. */
  readonly fromS: number;
  readonly requests: number;
  readonly lost: number;
  readonly parts: LossParts;
}

/** Losses found in a log; the parts add up to `lost`. */
export interface LossReport {
  readonly requests: number;
  readonly lost: number;
  readonly parts: LossParts;
  readonly windows: readonly LossWindow[];
}

/** Loss of a late answer, which is worth about half of one on time. */
export const LATE_LOSS = 0.5;

/** Skew (maximum over mean load of the ranks) above which a long pause is attributed to the expert map. */
const MAX_EVEN_SKEW = 1.5;

/** A request that has ended, with the last "places" line (group load and slots) of its host before. */
interface EndedRequest {
  readonly line: LogLine;
  readonly places: LogLine | undefined;
  readonly attempt: LogLine | undefined;
  /** Its last "turn" line, if it had to wait for a send slot; `endpoint` is null if it got none. */
  readonly turn: LogLine | undefined;
}

interface Loss {
  readonly cause: LossCause;
  readonly lost: number;
}

const CALLER_ERRORS = new Set(['unknown_key', 'unknown_path', 'too_large', 'bad_request']);

function causeOfRefusal({ line, places, attempt, turn }: EndedRequest): LossCause {
  if (turn?.endpoint === null) {
    return 'endpoints want relief';
  }
  if (places === undefined) {
    return 'no endpoint';
  }
  if (places.open === false || attempt?.verdict === 'wait') {
    return 'group down';
  }
  if (Number(line.attempts) > 0) {
    return 'not run by endpoints';
  }
  return Number(places.own) < Number(places.allowance)
    ? 'refused with places free'
    : 'no place in time';
}

function exceeds(value: unknown, limit: unknown): boolean {
  return typeof value === 'number' && typeof limit === 'number' && value > limit;
}

function lossOfCompleteAnswer({ line, places }: EndedRequest): Loss | null {
  if (exceeds(line.firstMs, line.objectiveMs)) {
    return { cause: 'first event late', lost: LATE_LOSS };
  }
  if (exceeds(line.pauseMs, line.pauseAimMs)) {
    const isSkewed = exceeds(places?.skew, MAX_EVEN_SKEW);
    return { cause: isSkewed ? 'map behind the demand' : 'pause too long', lost: LATE_LOSS };
  }
  return null;
}

type LossRule = (ended: EndedRequest) => Loss | null;

function fullLoss(cause: LossCause): LossRule {
  return () => ({ cause, lost: 1 });
}

/** Loss rules by the outcome in a request's "answer" line. */
const LOSS_RULES: Readonly<Record<string, LossRule>> = {
  whole: lossOfCompleteAnswer,
  refused: (ended) => ({ cause: causeOfRefusal(ended), lost: 1 }),
  quarantined: fullLoss('held for the ends of endpoints'),
  cut: fullLoss('stream broken off'),
  failed: fullLoss('lost at an endpoint'),
  passed: fullLoss('failed by the endpoint'),
  timeout: fullLoss('deadline passed'),
  callerGone: fullLoss('caller left'),
};

/** Causes of refusals when reading a request, by error code; with other codes the caller is at fault. */
const REFUSALS: Readonly<Record<string, LossCause>> = {
  not_ready: 'configuration not proven',
  leaving: 'host about to end',
};

function lossOf(ended: EndedRequest): Loss | null {
  const { line } = ended;
  if (line.event === 'refuse') {
    const cause = REFUSALS[String(line.code)];
    return cause === undefined ? null : { cause, lost: 1 };
  }
  return LOSS_RULES[String(line.outcome)]?.(ended) ?? null;
}

/** The requests that ended in a log, each with the related lines before. */
function collectEnded(log: readonly LogLine[]): readonly EndedRequest[] {
  const places = new Map<string, LogLine>();
  const attempts = new Map<unknown, LogLine>();
  const turns = new Map<unknown, LogLine>();
  const ended: EndedRequest[] = [];
  const collectors: Readonly<Record<string, (line: LogLine) => void>> = {
    places: (line) => places.set(line.id, line),
    attempt: (line) => attempts.set(line.request, line),
    turn: (line) => turns.set(line.request, line),
    answer: (line) =>
      ended.push({
        line,
        places: places.get(line.id),
        attempt: attempts.get(line.request),
        turn: turns.get(line.request),
      }),
    refuse: (line) =>
      CALLER_ERRORS.has(String(line.code)) ||
      ended.push({ line, places: places.get(line.id), attempt: undefined, turn: undefined }),
  };
  [...log]
    .sort((a, b) => Date.parse(a.time) - Date.parse(b.time))
    .forEach((line) => collectors[line.event]?.(line));
  return ended;
}

function totalOf(losses: readonly (Loss | null)[]): Omit<LossReport, 'windows'> {
  const parts: Partial<Record<LossCause, number>> = {};
  losses.forEach((loss) => {
    if (loss !== null) {
      parts[loss.cause] = (parts[loss.cause] ?? 0) + loss.lost;
    }
  });
  const lost = Object.values(parts).reduce((sum, part) => sum + part, 0);
  return { requests: losses.length, lost, parts };
}

/** Splits the loss of all requests that end in a log by cause, in total and per window of `windowS` seconds. */
export function splitLoss(log: readonly LogLine[], windowS: number): LossReport {
  const ended = collectEnded(log);
  const start = Math.min(...log.map(({ time }) => Date.parse(time)));
  const byWindow = new Map<number, (Loss | null)[]>();
  const losses = ended.map((item) => {
    const loss = lossOf(item);
    const at = Math.floor((Date.parse(item.line.time) - start) / 1_000 / windowS);
    byWindow.set(at, [...(byWindow.get(at) ?? []), loss]);
    return loss;
  });
  const windows = [...byWindow]
    .sort(([a], [b]) => a - b)
    .map(([at, part]) => ({ fromS: at * windowS, ...totalOf(part) }));
  return { ...totalOf(losses), windows };
}

function formatParts(parts: LossParts): string {
  return Object.entries(parts)
    .sort(([, a], [, b]) => b - a)
    .map(([cause, lost]) => `${cause} ${lost}`)
    .join(', ');
}

/** Formats a report as text: first the causes, then each window with a loss. */
export function formatLoss({ requests, lost, parts, windows }: LossReport): string {
  const share = requests === 0 ? 0 : (lost * 100) / requests;
  const causes = Object.entries(parts).sort(([, a], [, b]) => b - a);
  return [
    `${requests} requests, ${lost} lost (${share.toFixed(1)} in 100)`,
    ...causes.map(([cause, part]) => `  ${part.toFixed(1).padStart(8)}  ${cause}`),
    ...windows
      .filter((window) => window.lost > 0)
      .map(
        (window) =>
          `from ${window.fromS} s: ${window.lost} of ${window.requests}: ${formatParts(window.parts)}`,
      ),
  ].join('\n');
}
