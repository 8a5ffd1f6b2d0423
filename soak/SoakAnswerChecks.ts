/** Whose answers callers got, and whether they are whole. Pure. */
import { engineOfSeal, failureBody } from '../platform/__tests__/utils/StandInUnusualAnswers.js';
import { isDisturbed } from './SoakDisturbed.js';
import { eventsOf, STREAM_EVENTS, wholeBody } from './SoakStream.js';
import type { SoakAttempt, SoakFinding, SoakRecord, SoakRun } from './SoakTypes.js';

function finding(rule: string, detail: string): SoakFinding {
  return { rule, detail };
}

type Check = (
  record: SoakRecord,
  runs: ReadonlyMap<string, readonly SoakRun[]>,
) => readonly SoakFinding[];

function isSuccess({ status }: SoakAttempt): boolean {
  return status >= 200 && status < 300;
}

function describe({ id, entry, status, end, seal, echoedId, body }: SoakAttempt): string {
  return `${id} at ${entry}, ${status} ${end}, seal ${seal}, for ${echoedId}: ${JSON.stringify(body)}`;
}

/** A success is the engine's whole answer to this very request; a cut one is a beginning of it. */
const ownWholeAnswer: Check = ({ attempts }) =>
  attempts.filter(isSuccess).flatMap((attempt) => {
    const { end, body } = attempt;
    const whole = wholeBody(attempt);
    const right = end === 'whole' ? body === whole : whole.startsWith(body);
    return right ? [] : [finding('own whole answer', describe(attempt))];
  });

const sealedSuccess: Check = ({ attempts }) =>
  attempts
    .filter((attempt) => isSuccess(attempt) && (attempt.seal === null || attempt.echoedId === null))
    .map((attempt) => finding('a success bears its seal and id', describe(attempt)));

/** Whether an engine gave an answer with this status, as the seal says. */
function isOf({ answers }: SoakRecord, { id, seal, status }: SoakAttempt): boolean {
  const engine = seal === null ? null : engineOfSeal(seal);
  return answers.some(
    (answer) => answer.id === id && answer.engine === engine && answer.status === status,
  );
}

const sealOfItsEngine: Check = (record, runs) =>
  record.attempts
    .filter((attempt) => isSuccess(attempt) && attempt.seal !== null && attempt.echoedId !== null)
    .filter((attempt) => {
      const engine = engineOfSeal(attempt.seal ?? '');
      const hasRun = (runs.get(attempt.id) ?? []).some((run) => run.engine === engine);
      return attempt.echoedId !== attempt.id || !hasRun || !isOf(record, attempt);
    })
    .map((attempt) => finding('a success is of the engine that ran it', describe(attempt)));

const ownFailure: Check = (record) =>
  record.attempts
    .filter((attempt) => attempt.status > 0 && !isSuccess(attempt))
    .filter((attempt) => {
      const { id, seal, echoedId, end, body } = attempt;
      const isForeign = echoedId !== null && echoedId !== id;
      const isWrong =
        seal !== null && (!isOf(record, attempt) || (end === 'whole' && body !== failureBody(id)));
      return isForeign || isWrong;
    })
    .map((attempt) => finding('a sealed failure is its engine’s own', describe(attempt)));

const nothingStray: Check = ({ attempts }) =>
  attempts
    .filter(({ stray }) => stray !== '')
    .map(({ id, entry, stray }) =>
      finding('nothing but answers', `${id} at ${entry}: ${JSON.stringify(stray)}`),
    );

/** Parts of a stream that was resumed, joined: no event is missing, none comes twice. */
const joinedStreams: Check = ({ attempts }) => {
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const goneOn = new Set(attempts.map(({ resumes }) => resumes));
  return attempts
    .filter(({ id, resumes }) => resumes !== null && !goneOn.has(id))
    .flatMap((last) => {
      const parts: SoakAttempt[] = [];
      for (let part = byId.get(last.id); part !== undefined; part = byId.get(part.resumes ?? '')) {
        parts.unshift(part);
      }
      const events = parts.filter(isSuccess).flatMap(({ body }) => eventsOf(body));
      const isEnded = isSuccess(last) && last.end === 'whole';
      const isRight =
        events.every((event, i) => event === i + 1) &&
        (!isEnded || events.length === STREAM_EVENTS);
      return isRight ? [] : [finding('a resumed stream goes on', parts.map(describe).join('; '))];
    });
};

/** What was passed on to an engine ends with an answer, or a beginning of it. */
const answered: Check = (record, runs) =>
  record.attempts
    .filter(
      (attempt) =>
        attempt.end === 'broken' &&
        attempt.status === 0 &&
        runs.has(attempt.id) &&
        !isDisturbed(record, attempt),
    )
    .map((attempt) => finding('what is passed on is answered', describe(attempt)));

const CHECKS: readonly Check[] = [
  ownWholeAnswer,
  sealedSuccess,
  sealOfItsEngine,
  ownFailure,
  nothingStray,
  joinedStreams,
  answered,
];

/** All answers that broke a promise. */
export function checkAnswers(
  record: SoakRecord,
  runs: ReadonlyMap<string, readonly SoakRun[]>,
): readonly SoakFinding[] {
  return CHECKS.flatMap((check) => check(record, runs));
}
