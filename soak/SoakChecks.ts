/** Checks the system's guarantees on the record of a soak run. Pure: a record in, findings out. */
import { checkAnswers } from './SoakAnswerChecks.js';
import { checkCold } from './SoakCold.js';
import { checkDepartures } from './SoakDepartures.js';
import { checkEvacuations } from './SoakEvacuations.js';
import { overlapsUnplannedFault } from './SoakFaultOverlap.js';
import { checkParts } from './SoakParts.js';
import { checkRelief, hadFault } from './SoakRelief.js';
import { checkRetries } from './SoakRetries.js';
import type { SoakFinding, SoakRecord, SoakExecution } from './SoakTypes.js';

/** No request with a revoked key may run that is sent more than this long after the acknowledgement, ms. */
export const MAX_REVOKE_MS = 5_000;

/** A draining engine must get no new request later than this after the acknowledgement, ms. */
export const MAX_DRAIN_MS = 2_000;

/** A key is known at all entry hosts this long after the acknowledgement of its version, ms. */
const MAX_APPLY_MS = 2_000;

/** Crashes after which a request is quarantined, and how often it may still run once that has propagated. */
const QUARANTINE_CRASHES = 3;
const MAX_LATE_EXECUTIONS = 3;

/** Time for a crash to be reported to all entry hosts, ms. */
const PROPAGATION_MS = 3_000;

/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

function finding(rule: string, detail: string): SoakFinding {
  return { rule, detail };
}

type Check = (
  record: SoakRecord,
  executionsById: ReadonlyMap<string, readonly SoakExecution[]>,
) => SoakFinding[];

const atMostOnce: Check = ({ attempts }, executionsById) =>
  attempts.flatMap(({ id, kind }) => {
    const times = (executionsById.get(id) ?? []).length;
    return kind === 'hold' && times > 1
      ? [finding('at most once', `${id} ran ${times} times`)]
      : [];
  });

const refusedNotRun: Check = ({ attempts }, executionsById) =>
  attempts.flatMap(({ id, kind, status }) => {
    const ran = executionsById.has(id);
    return kind === 'hold' && NOT_RUN_STATUSES.has(status) && ran
      ? [finding('refused means not run', `${id} got ${status} and ran`)]
      : [];
  });

const noUnknownRequests: Check = ({ attempts, executions }) => {
  const sent = new Set(attempts.map(({ id }) => id));
  return executions.flatMap(({ id }) =>
    sent.has(id) ? [] : [finding('nothing unasked', `${id} ran`)],
  );
};

const revokedKeysRefused: Check = ({ attempts, revokedKeys }, executionsById) =>
  attempts.flatMap(({ id, key, sentAt }) => {
    const revoked = revokedKeys.find((item) => item.key === key);
    const late = revoked !== undefined && sentAt > revoked.ackedAt + MAX_REVOKE_MS;
    return late && executionsById.has(id)
      ? [finding('withdrawn keys are dead', `${id} ran ${sentAt - revoked.ackedAt} ms after`)]
      : [];
  });

/** A key that is known at all entry hosts and was never revoked isn't refused. */
const validKeysAccepted: Check = ({ attempts, revokedKeys }) =>
  attempts.flatMap(({ id, key, status, entry }) => {
    const revoked = revokedKeys.some((item) => item.key === key);
    return status === 401 && !revoked
      ? [finding('no configuration reverts', `${id}: ${key} refused at ${entry}`)]
      : [];
  });

/** Leaves out entry hosts that had a fault since the acknowledgement: they may not have been notified of the drain. */
const noRequestsAfterDrain: Check = (record) => {
  const { attempts, drains, executions } = record;
  const entryOf = new Map(attempts.map(({ id, entry }) => [id, entry]));
  return drains.flatMap(({ engine, ackedAt }) =>
    executions
      .filter((execution) => execution.engine === engine && execution.at > ackedAt + MAX_DRAIN_MS)
      .filter(({ id, at }) => !hadFault(record, entryOf.get(id) ?? '', ackedAt, at))
      .map(({ id, at }) =>
        finding('a leaving engine gets nothing new', `${id} at ${engine} after ${at - ackedAt} ms`),
      ),
  );
};

/** A request that an engine ran is answered in full though its entry process was stopped by SIGTERM meanwhile. */
const gracefulStop: Check = (record, executionsById) =>
  record.attempts.flatMap((attempt) => {
    const { id, entry, sentAt, endedAt, outcome } = attempt;
    const stopped = record.injectedFaults.some(
      ({ kind, target, from, until }) =>
        kind === 'entryTerm' && target === entry && from <= endedAt && until >= sentAt,
    );
    const isCutOff =
      stopped &&
      outcome === 'broken' &&
      executionsById.has(id) &&
      !overlapsUnplannedFault(record, attempt);
    return isCutOff ? [finding('a graceful stop cuts nothing off', `${id} at ${entry}`)] : [];
  });

const oneMapPerPass: Check = ({ mixedPasses }) =>
  mixedPasses === 0 ? [] : [finding('one map a pass', `${mixedPasses} passes with two maps`)];

const ackedVersionKept: Check = ({ ackedVersion, readBackVersions }) =>
  readBackVersions.flatMap((version, i) =>
    version !== null && version >= ackedVersion
      ? []
      : [
          finding(
            'acknowledged is kept',
            `control-${i + 1} reads ${version}, acked ${ackedVersion}`,
          ),
        ],
  );

/**
 * A request that crashed three engines soon reaches no engine any more. Executions during an unplanned fault or shortly
 * after it don't count.
 */
const fatalQuarantined: Check = (record) => {
  const entryOf = new Map(record.attempts.map(({ id, entry }) => [id, entry]));
  const bodies = new Set(record.fatalExecutions.map(({ body }) => body));
  return [...bodies].flatMap((body) => {
    const crashTimes = record.engineCrashes
      .filter((crash) => crash.body === body)
      .map(({ at }) => at);
    const thirdCrashAt = [...crashTimes].sort((x, y) => x - y)[QUARANTINE_CRASHES - 1] ?? Infinity;
    const late = record.fatalExecutions.filter(
      (execution) =>
        execution.body === body &&
        execution.at > thirdCrashAt + PROPAGATION_MS &&
        !overlapsUnplannedFault(
          { injectedFaults: record.injectedFaults, engineCrashes: [] },
          { sentAt: execution.at, endedAt: execution.at },
        ),
    );
    const descriptions = late.map(
      ({ id, at }) =>
        `${id} by ${entryOf.get(id)} ${Math.round(at - thirdCrashAt)} ms after the third end`,
    );
    return late.length > MAX_LATE_EXECUTIONS
      ? [
          finding(
            'what ends engines is held',
            `"${body}" ran too late as ${descriptions.join(', ')}`,
          ),
        ]
      : [];
  });
};

const noUnexpectedExits: Check = ({ unexpectedExits }) =>
  unexpectedExits.map((name) => finding('no process ends by itself', name));

const recovers: Check = ({ servedAfterRecovery, passesAfterRecovery }) => [
  ...(servedAfterRecovery > 0 ? [] : [finding('serves again', 'no request was served at the end')]),
  ...(passesAfterRecovery > 0
    ? []
    : [finding('serves again', 'the group stands still at the end')]),
];

const CHECKS: readonly Check[] = [
  atMostOnce,
  refusedNotRun,
  noUnknownRequests,
  revokedKeysRefused,
  validKeysAccepted,
  noRequestsAfterDrain,
  gracefulStop,
  oneMapPerPass,
  ackedVersionKept,
  fatalQuarantined,
  noUnexpectedExits,
  recovers,
];

/** Time from which the new key of a version may be used: it is in force at all entry hosts by then. */
export function usableFrom(ackedAt: number): number {
  return ackedAt + MAX_APPLY_MS;
}

/** All violated guarantees in a record. */
export function checkRecord(record: SoakRecord): readonly SoakFinding[] {
  const executionsById = new Map<string, SoakExecution[]>();
  record.executions.forEach((execution) =>
    executionsById.set(execution.id, [...(executionsById.get(execution.id) ?? []), execution]),
  );
  return [
    ...checkAnswers(record, executionsById),
    ...CHECKS.flatMap((check) => check(record, executionsById)),
    ...checkRelief(record),
    ...checkEvacuations(record),
    ...checkDepartures(record),
    ...checkCold(record),
    ...checkRetries(record),
    ...checkParts(record),
  ];
}
