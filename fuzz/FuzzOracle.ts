/** Judges what callers got by what was written to the wire. Pure, and independent of the code under test. */
import { WIRE_NAMES } from '../platform/__tests__/utils/StandInWire.js';
import type { FuzzAsked, FuzzHeard } from './FuzzCaller.js';
import type { FuzzArrival } from './FuzzEndpoint.js';
import { isInformational, readConnection, valuesOf, type ReadAnswer } from './FuzzReader.js';
import { explainsStream, type FuzzStreamPart } from './FuzzStreams.js';
import { ONCE_ROUTES } from './FuzzTypes.js';

/** What was seen of a case. */
export interface FuzzSeen {
  readonly heard: readonly FuzzHeard[];
  readonly arrivals: readonly FuzzArrival[];
  /** Lines that the entry has logged of its own faults. */
  readonly faults: readonly string[];
}

/** How requests ended. */
export type FuzzOutcome = 'whole' | 'passed' | 'own' | 'notRun' | 'broken';

/** A verdict: promises that were broken, and how requests ended. */
export interface FuzzVerdict {
  readonly findings: readonly string[];
  readonly outcomes: readonly FuzzOutcome[];
}

/** What an endpoint has sent in answer to one arrival. */
interface Attempt {
  readonly arrival: FuzzArrival;
  /** Answers on its connection that bear the request's id, and no other. */
  readonly answers: readonly ReadAnswer[];
  /** Whether one of the connection, for this request or for no named one, says that it has not run. */
  readonly saysNotRun: boolean;
}

interface Judged {
  readonly outcome: FuzzOutcome;
  readonly finding: string | null;
}

/** Statuses that promise that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

const MISDIRECTED = 421;

const { id: ID, seal: SEAL, notRun: NOT_RUN_MARK } = WIRE_NAMES;

function fail(finding: string, outcome: FuzzOutcome = 'broken'): Judged {
  return { outcome, finding };
}

function isRefusal(answer: ReadAnswer): boolean {
  return answer.status === MISDIRECTED || valuesOf(answer, NOT_RUN_MARK).length > 0;
}

function attemptOf(arrival: FuzzArrival): Attempt {
  const { bytes, end } = arrival.connection;
  const finals = readConnection(bytes, end, 'endpoint').answers.filter(
    (answer) => !isInformational(answer),
  );
  const isFor = (answer: ReadAnswer): boolean => {
    const ids = valuesOf(answer, ID);
    return ids.length > 0 && ids.every((id) => id === arrival.id);
  };
  const isNameless = (answer: ReadAnswer): boolean => valuesOf(answer, ID).length === 0;
  return {
    arrival,
    answers: finals.filter(isFor),
    saysNotRun: finals.some((answer) => isRefusal(answer) && (isFor(answer) || isNameless(answer))),
  };
}

function sameHead(got: ReadAnswer, sent: ReadAnswer): boolean {
  const seals = valuesOf(sent, SEAL);
  const gotSeals = valuesOf(got, SEAL);
  return (
    got.status === sent.status &&
    seals.length === gotSeals.length &&
    seals.every((seal, i) => seal === gotSeals[i])
  );
}

function partsOf(attempts: readonly Attempt[]): readonly FuzzStreamPart[] {
  return attempts.flatMap(({ arrival, answers }) =>
    answers.map((answer) => ({ resumedAfter: arrival.lastEvent, answer })),
  );
}

/** A success is the whole answer of an endpoint to this request, or shows that it isn't whole. */
function judgeSuccess(asked: FuzzAsked, got: ReadAnswer, attempts: readonly Attempt[]): Judged {
  const ids = valuesOf(got, ID);
  const seals = valuesOf(got, SEAL);
  if (seals.length === 0 || seals.includes('')) {
    return fail(`${asked.id}: a success without the seal`);
  }
  if (ids.length === 0 || ids.some((id) => id !== asked.id)) {
    return fail(`${asked.id}: a success for ${JSON.stringify(ids)}`);
  }
  const outcome = got.isWhole ? 'whole' : 'broken';
  const answers = attempts.flatMap((attempt) => attempt.answers);
  const isWhole = answers.some(
    (sent) => sent.isWhole && sameHead(got, sent) && sent.body.equals(got.body),
  );
  const { lastEvent } = asked.plan;
  const first = lastEvent === null ? null : String(lastEvent);
  const isStream = explainsStream(partsOf(attempts), got, first, (sent) => sameHead(got, sent));
  if (isWhole || isStream) {
    return { outcome, finding: null };
  }
  const kind = got.isWhole ? 'a success' : 'a part of a success';
  const body = JSON.stringify(got.body.toString('latin1'));
  return fail(`${asked.id}: ${kind} that no endpoint gave: ${got.status} ${seals.join()} ${body}`);
}

/** Whether a failure was made by the entry itself. */
function isOwn(got: ReadAnswer): boolean {
  try {
    const { error } = JSON.parse(got.body.toString('utf8')) as { error?: { code?: unknown } };
    return got.status >= 400 && typeof error?.code === 'string';
  } catch {
    // Not JSON: not of its making.
    return false;
  }
}

/** A failure is an endpoint's own, unchanged, or the entry's; and says `not run` only where nothing has run. */
function judgeFailure(asked: FuzzAsked, got: ReadAnswer, attempts: readonly Attempt[]): Judged {
  const answers = attempts.flatMap((attempt) => attempt.answers);
  const isPassed = answers.some(
    (sent) => sent.isWhole && sameHead(got, sent) && sent.body.equals(got.body),
  );
  if (isPassed) {
    return { outcome: 'passed', finding: null };
  }
  const isNamed = valuesOf(got, ID).length > 0 || valuesOf(got, SEAL).length > 0;
  if (!got.isWhole) {
    return { outcome: 'broken', finding: null };
  }
  if (isNamed || !isOwn(got)) {
    const body = JSON.stringify(got.body.toString('latin1'));
    return fail(`${asked.id}: a failure that no endpoint gave: ${got.status} ${body}`);
  }
  if (!NOT_RUN.has(got.status)) {
    return { outcome: 'own', finding: null };
  }
  const ran = attempts.some(({ arrival, saysNotRun }) => arrival.runs && !saysNotRun);
  return ran
    ? fail(`${asked.id}: ${got.status}, and an endpoint has run it`)
    : { outcome: 'notRun', finding: null };
}

function judgeConnection(
  { asked, bytes, end, isStuck }: FuzzHeard,
  attemptsOf: (id: string) => readonly Attempt[],
): readonly Judged[] {
  const { answers, fault } = readConnection(bytes, end);
  const interim = answers.filter(isInformational);
  const finals = answers.filter((answer) => !isInformational(answer));
  const judged = asked.map((one, i) => {
    const got = finals[i];
    if (got === undefined) {
      const isMissing = end === 'open' && (isStuck || finals.every(({ isWhole }) => isWhole));
      return isMissing
        ? fail(`${one.id}: no answer`)
        : { outcome: 'broken' as const, finding: null };
    }
    const judge = got.status < 300 ? judgeSuccess : judgeFailure;
    return judge(one, got, attemptsOf(one.id));
  });
  return [
    ...judged,
    ...(fault === null ? [] : [fail(`bytes that are no answer: ${fault}`)]),
    ...(interim.length === 0 ? [] : [fail('an interim answer that nobody waits for')]),
    ...(finals.length > asked.length ? [fail('an answer that nobody has asked for')] : []),
  ];
}

function judgeArrivals(
  asked: ReadonlyMap<string, FuzzAsked>,
  attempts: readonly Attempt[],
): readonly string[] {
  const changed = attempts.flatMap(({ arrival }) => {
    const { id, method, path, body } = arrival;
    const own = asked.get(id);
    const isSame = own?.method === method && own.path === path && own.body === body;
    return isSame ? [] : [`${id}: an endpoint got what nobody sent: ${method} ${path}`];
  });
  const twice = [...asked.values()].flatMap(({ id, plan }) => {
    const runs = attempts.filter(
      ({ arrival, saysNotRun }) => arrival.id === id && arrival.runs && !saysNotRun,
    );
    return ONCE_ROUTES.has(plan.route) && runs.length > 1
      ? [`${id}: ran ${runs.length} times`]
      : [];
  });
  return [...changed, ...twice];
}

/** Judges a case that is over. */
export function judgeCase({ heard, arrivals, faults }: FuzzSeen): FuzzVerdict {
  const attempts = arrivals.map(attemptOf);
  const asked = new Map(heard.flatMap((one) => one.asked).map((one) => [one.id, one]));
  const attemptsOf = (id: string): readonly Attempt[] =>
    attempts.filter(({ arrival }) => arrival.id === id);
  const judged = heard.flatMap((one) => judgeConnection(one, attemptsOf));
  const findings = judged.flatMap(({ finding }) => (finding === null ? [] : [finding]));
  return {
    findings: [
      ...findings,
      ...judgeArrivals(asked, attempts),
      ...faults.map((line) => `logged: ${line.trim()}`),
    ],
    outcomes: judged.map(({ outcome }) => outcome),
  };
}
