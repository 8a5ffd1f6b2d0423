/** Checks what the caller received against the bytes that endpoints sent. Pure, without code of the entry. */
import { WIRE_NAMES } from '../platform/__tests__/utils/StandInWire.js';
import type { FuzzCallerRequest, FuzzTranscript } from './FuzzCaller.js';
import type { FuzzArrival } from './FuzzEndpoint.js';
import { isInformational, readConnection, headerValues, type ReadAnswer } from './FuzzReader.js';
import { canAssembleStream, type FuzzStreamPart } from './FuzzStreams.js';
import { NON_REPEATABLE_ROUTES } from './FuzzTypes.js';

/** Observations of a case. */
export interface FuzzObservation {
  readonly transcripts: readonly FuzzTranscript[];
  readonly arrivals: readonly FuzzArrival[];
  /** Lines that the entry has logged at level error or above. */
  readonly errorLines: readonly string[];
}

/**
 * Outcome of a request: a complete success, an endpoint's failure passed on, the entry's own failure, one that says
 * that the request has not run, or an answer that is incomplete, missing or wrong.
 */
export type FuzzOutcome = 'whole' | 'passed' | 'own' | 'notRun' | 'broken';

/** Violated guarantees, one text each, and the outcomes of the requests. */
export interface FuzzVerdict {
  readonly findings: readonly string[];
  readonly outcomes: readonly FuzzOutcome[];
}

/** Answers of an endpoint to one arrival. */
interface Attempt {
  readonly arrival: FuzzArrival;
  /** Final answers on its connection with the request's id and no other id. */
  readonly answers: readonly ReadAnswer[];
  /** Whether an answer on the connection with this request's id says that it has not run. */
  readonly reportsNotRun: boolean;
}

interface Judgement {
  readonly outcome: FuzzOutcome;
  readonly finding: string | null;
}

/** Statuses by which the entry says that a request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

const MISDIRECTED = 421;

const { id: ID_HEADER, seal: SEAL_HEADER, notRun: NOT_RUN_HEADER } = WIRE_NAMES;

function violation(finding: string, outcome: FuzzOutcome = 'broken'): Judgement {
  return { outcome, finding };
}

function isRefusal(answer: ReadAnswer): boolean {
  return answer.status === MISDIRECTED || headerValues(answer, NOT_RUN_HEADER).length > 0;
}

function attemptOf(arrival: FuzzArrival): Attempt {
  const { bytes, end } = arrival.connection;
  const finals = readConnection(bytes, end, 'endpoint').answers.filter(
    (answer) => !isInformational(answer),
  );
  const isForRequest = (answer: ReadAnswer): boolean => {
    const ids = headerValues(answer, ID_HEADER);
    return ids.length > 0 && ids.every((id) => id === arrival.id);
  };
  return {
    arrival,
    answers: finals.filter(isForRequest),
    reportsNotRun: finals.some((answer) => isRefusal(answer) && isForRequest(answer)),
  };
}

function isSameHead(got: ReadAnswer, sent: ReadAnswer): boolean {
  const seals = headerValues(sent, SEAL_HEADER);
  const gotSeals = headerValues(got, SEAL_HEADER);
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

/**
 * A success must equal a complete answer of an endpoint to this request, or be a stream made of the events of such
 * answers, which may be incomplete.
 */
function judgeSuccess(
  request: FuzzCallerRequest,
  got: ReadAnswer,
  attempts: readonly Attempt[],
): Judgement {
  const ids = headerValues(got, ID_HEADER);
  const seals = headerValues(got, SEAL_HEADER);
  if (seals.length === 0 || seals.includes('')) {
    return violation(`${request.id}: a success without the seal`);
  }
  if (ids.length === 0 || ids.some((id) => id !== request.id)) {
    return violation(`${request.id}: a success for ${JSON.stringify(ids)}`);
  }
  const outcome = got.isComplete ? 'whole' : 'broken';
  const answers = attempts.flatMap((attempt) => attempt.answers);
  const isSentAnswer = answers.some(
    (sent) => sent.isComplete && isSameHead(got, sent) && sent.body.equals(got.body),
  );
  const { lastEvent } = request.plan;
  const first = lastEvent === null ? null : String(lastEvent);
  const isStream = canAssembleStream(partsOf(attempts), got, first, (sent) =>
    isSameHead(got, sent),
  );
  if (isSentAnswer || isStream) {
    return { outcome, finding: null };
  }
  const kind = got.isComplete ? 'a success' : 'a part of a success';
  const body = JSON.stringify(got.body.toString('latin1'));
  return violation(
    `${request.id}: ${kind} that no endpoint gave: ${got.status} ${seals.join()} ${body}`,
  );
}

/** Whether an answer has the form of the entry's own errors. */
function isEntryError(got: ReadAnswer): boolean {
  try {
    const { error } = JSON.parse(got.body.toString('utf8')) as { error?: { code?: unknown } };
    return got.status >= 400 && typeof error?.code === 'string';
  } catch {
    // The entry's errors are JSON.
    return false;
  }
}

/** A failure must be an endpoint's, unchanged, or the entry's, which may say `not run` only if no endpoint ran it. */
function judgeFailure(
  request: FuzzCallerRequest,
  got: ReadAnswer,
  attempts: readonly Attempt[],
): Judgement {
  const answers = attempts.flatMap((attempt) => attempt.answers);
  const isPassed = answers.some(
    (sent) => sent.isComplete && isSameHead(got, sent) && sent.body.equals(got.body),
  );
  if (isPassed) {
    return { outcome: 'passed', finding: null };
  }
  const hasEndpointHeader =
    headerValues(got, ID_HEADER).length > 0 || headerValues(got, SEAL_HEADER).length > 0;
  if (!got.isComplete) {
    return { outcome: 'broken', finding: null };
  }
  if (hasEndpointHeader || !isEntryError(got)) {
    const body = JSON.stringify(got.body.toString('latin1'));
    return violation(`${request.id}: a failure that no endpoint gave: ${got.status} ${body}`);
  }
  if (!NOT_RUN_STATUSES.has(got.status)) {
    return { outcome: 'own', finding: null };
  }
  const ran = attempts.some(({ arrival, reportsNotRun }) => arrival.runs && !reportsNotRun);
  return ran
    ? violation(`${request.id}: ${got.status}, and an endpoint has run it`)
    : { outcome: 'notRun', finding: null };
}

function judgeConnection(
  { requests, bytes, end, hasTimedOut }: FuzzTranscript,
  attemptsOf: (id: string) => readonly Attempt[],
): readonly Judgement[] {
  const { answers, fault } = readConnection(bytes, end);
  const interim = answers.filter(isInformational);
  const finals = answers.filter((answer) => !isInformational(answer));
  const judged = requests.map((request, i) => {
    const got = finals[i];
    if (got === undefined) {
      const isMissing =
        end === 'open' && (hasTimedOut || finals.every(({ isComplete }) => isComplete));
      return isMissing
        ? violation(`${request.id}: no answer`)
        : { outcome: 'broken' as const, finding: null };
    }
    const judge = got.status < 300 ? judgeSuccess : judgeFailure;
    return judge(request, got, attemptsOf(request.id));
  });
  return [
    ...judged,
    ...(fault === null ? [] : [violation(`bytes that are no answer: ${fault}`)]),
    ...(interim.length === 0 ? [] : [violation('an interim answer that nobody waits for')]),
    ...(finals.length > requests.length ? [violation('an answer that nobody has asked for')] : []),
  ];
}

function judgeArrivals(
  requestsById: ReadonlyMap<string, FuzzCallerRequest>,
  attempts: readonly Attempt[],
): readonly string[] {
  const altered = attempts.flatMap(({ arrival }) => {
    const { id, method, path, body } = arrival;
    const callerRequest = requestsById.get(id);
    const isSame =
      callerRequest?.method === method &&
      callerRequest.path === path &&
      callerRequest.body === body;
    return isSame ? [] : [`${id}: an endpoint got what nobody sent: ${method} ${path}`];
  });
  const repeatedRuns = [...requestsById.values()].flatMap(({ id, plan }) => {
    const runs = attempts.filter(
      ({ arrival, reportsNotRun }) => arrival.id === id && arrival.runs && !reportsNotRun,
    );
    return NON_REPEATABLE_ROUTES.has(plan.route) && runs.length > 1
      ? [`${id}: ran ${runs.length} times`]
      : [];
  });
  return [...altered, ...repeatedRuns];
}

/** Judges a finished case. */
export function judgeCase({ transcripts, arrivals, errorLines }: FuzzObservation): FuzzVerdict {
  const attempts = arrivals.map(attemptOf);
  const requestsById = new Map(
    transcripts
      .flatMap((transcript) => transcript.requests)
      .map((request) => [request.id, request]),
  );
  const attemptsOf = (id: string): readonly Attempt[] =>
    attempts.filter(({ arrival }) => arrival.id === id);
  const judged = transcripts.flatMap((transcript) => judgeConnection(transcript, attemptsOf));
  const findings = judged.flatMap(({ finding }) => (finding === null ? [] : [finding]));
  return {
    findings: [
      ...findings,
      ...judgeArrivals(requestsById, attempts),
      ...errorLines.map((line) => `logged: ${line.trim()}`),
    ],
    outcomes: judged.map(({ outcome }) => outcome),
  };
}
