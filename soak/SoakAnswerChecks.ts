/** Checks that callers got complete answers of the engines that ran their requests. Pure. */
import { engineOfSeal, failureBody } from '../platform/__tests__/utils/StandInUnusualAnswers.js';
import { overlapsUnplannedFault } from './SoakFaultOverlap.js';
import { eventIdsOf, STREAM_EVENTS, expectedBody } from './SoakStream.js';
import type { SoakAttempt, SoakFinding, SoakRecord, SoakExecution } from './SoakTypes.js';

function finding(rule: string, detail: string): SoakFinding {
  return { rule, detail };
}

type Check = (
  record: SoakRecord,
  executionsById: ReadonlyMap<string, readonly SoakExecution[]>,
) => readonly SoakFinding[];

function isSuccess({ status }: SoakAttempt): boolean {
  return status >= 200 && status < 300;
}

function describe({ id, entry, status, outcome, seal, echoedId, body }: SoakAttempt): string {
  return `${id} at ${entry}, ${status} ${outcome}, seal ${seal}, for ${echoedId}: ${JSON.stringify(body)}`;
}

/** A success is the complete answer to its own request; one that was cut off is a prefix of it. */
const ownWholeAnswer: Check = ({ attempts }) =>
  attempts.filter(isSuccess).flatMap((attempt) => {
    const { outcome, body } = attempt;
    const expected = expectedBody(attempt);
    const matches = outcome === 'whole' ? body === expected : expected.startsWith(body);
    return matches ? [] : [finding('own whole answer', describe(attempt))];
  });

const successHasSeal: Check = ({ attempts }) =>
  attempts
    .filter((attempt) => isSuccess(attempt) && (attempt.seal === null || attempt.echoedId === null))
    .map((attempt) => finding('a success bears its seal and id', describe(attempt)));

/** Whether the engine that the seal names gave this request an answer with this status. */
function wasGivenByEngine({ answers }: SoakRecord, { id, seal, status }: SoakAttempt): boolean {
  const engine = seal === null ? null : engineOfSeal(seal);
  return answers.some(
    (answer) => answer.id === id && answer.engine === engine && answer.status === status,
  );
}

const successSealMatches: Check = (record, executionsById) =>
  record.attempts
    .filter((attempt) => isSuccess(attempt) && attempt.seal !== null && attempt.echoedId !== null)
    .filter((attempt) => {
      const engine = engineOfSeal(attempt.seal ?? '');
      const hasRun = (executionsById.get(attempt.id) ?? []).some(
        (execution) => execution.engine === engine,
      );
      return attempt.echoedId !== attempt.id || !hasRun || !wasGivenByEngine(record, attempt);
    })
    .map((attempt) => finding('a success is of the engine that ran it', describe(attempt)));

const failureSealMatches: Check = (record) =>
  record.attempts
    .filter((attempt) => attempt.status > 0 && !isSuccess(attempt))
    .filter((attempt) => {
      const { id, seal, echoedId, outcome, body } = attempt;
      const isForeign = echoedId !== null && echoedId !== id;
      const isWrong =
        seal !== null &&
        (!wasGivenByEngine(record, attempt) || (outcome === 'whole' && body !== failureBody(id)));
      return isForeign || isWrong;
    })
    .map((attempt) => finding('a sealed failure is its engine’s own', describe(attempt)));

const noStrayBytes: Check = ({ attempts }) =>
  attempts
    .filter(({ stray }) => stray !== '')
    .map(({ id, entry, stray }) =>
      finding('nothing but answers', `${id} at ${entry}: ${JSON.stringify(stray)}`),
    );

/** The joined parts of a resumed stream have no missing and no duplicate event. */
const resumedStreamsComplete: Check = ({ attempts }) => {
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const resumedIds = new Set(attempts.map(({ resumedFrom }) => resumedFrom));
  return attempts
    .filter(({ id, resumedFrom }) => resumedFrom !== null && !resumedIds.has(id))
    .flatMap((last) => {
      const parts: SoakAttempt[] = [];
      for (
        let part = byId.get(last.id);
        part !== undefined;
        part = byId.get(part.resumedFrom ?? '')
      ) {
        parts.unshift(part);
      }
      const eventIds = parts.filter(isSuccess).flatMap(({ body }) => eventIdsOf(body));
      const isEnded = isSuccess(last) && last.outcome === 'whole';
      const isRight =
        eventIds.every((event, i) => event === i + 1) &&
        (!isEnded || eventIds.length === STREAM_EVENTS);
      return isRight ? [] : [finding('a resumed stream goes on', parts.map(describe).join('; '))];
    });
};

/** A request that an engine ran gets at least the head of an answer, unless an unplanned fault overlaps it. */
const forwardedIsAnswered: Check = (record, executionsById) =>
  record.attempts
    .filter(
      (attempt) =>
        attempt.outcome === 'broken' &&
        attempt.status === 0 &&
        executionsById.has(attempt.id) &&
        !overlapsUnplannedFault(record, attempt),
    )
    .map((attempt) => finding('what is passed on is answered', describe(attempt)));

const CHECKS: readonly Check[] = [
  ownWholeAnswer,
  successHasSeal,
  successSealMatches,
  failureSealMatches,
  noStrayBytes,
  resumedStreamsComplete,
  forwardedIsAnswered,
];

/** All answers that violate a guarantee. */
export function checkAnswers(
  record: SoakRecord,
  executionsById: ReadonlyMap<string, readonly SoakExecution[]>,
): readonly SoakFinding[] {
  return CHECKS.flatMap((check) => check(record, executionsById));
}
