/** The promises, checked on what callers and engines saw. Pure: a record in, findings out. */
import { checkAnswers } from './SoakAnswerChecks.js';
import { isDisturbed } from './SoakDisturbed.js';
import { checkNeeds, isTouched } from './SoakNeeds.js';
import type { SoakFinding, SoakRecord, SoakRun } from './SoakTypes.js';

/** A withdrawn key must not be served for requests sent this long after the acknowledgement, ms. */
export const REVOKE_MS = 5_000;

/** An engine that leaves must get nothing new this long after the acknowledgement, ms. */
export const DRAIN_MS = 2_000;

/** A key is known everywhere this long after the acknowledgement of its version, ms. */
const APPLY_MS = 2_000;

/** Engines that a request may end, and how often it may run once that is known. */
const FATAL_ENDS = 3;
const MOST_FATAL_RUNS = 3;

/** Time that the news of an end may take, ms. */
const NEWS_MS = 3_000;

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);

function finding(rule: string, detail: string): SoakFinding {
  return { rule, detail };
}

type Check = (record: SoakRecord, runs: ReadonlyMap<string, readonly SoakRun[]>) => SoakFinding[];

const atMostOnce: Check = ({ attempts }, runs) =>
  attempts.flatMap(({ id, kind }) => {
    const times = (runs.get(id) ?? []).length;
    return kind === 'hold' && times > 1
      ? [finding('at most once', `${id} ran ${times} times`)]
      : [];
  });

const refusedNotRun: Check = ({ attempts }, runs) =>
  attempts.flatMap(({ id, kind, status }) => {
    const ran = runs.has(id);
    return kind === 'hold' && NOT_RUN.has(status) && ran
      ? [finding('refused means not run', `${id} got ${status} and ran`)]
      : [];
  });

const noUnknownRequests: Check = ({ attempts, runs }) => {
  const sent = new Set(attempts.map(({ id }) => id));
  return runs.flatMap(({ id }) => (sent.has(id) ? [] : [finding('nothing unasked', `${id} ran`)]));
};

const withdrawnKeys: Check = ({ attempts, withdrawals }, runs) =>
  attempts.flatMap(({ id, key, sentAt }) => {
    const withdrawn = withdrawals.find((item) => item.key === key);
    const late = withdrawn !== undefined && sentAt > withdrawn.ackedAt + REVOKE_MS;
    return late && runs.has(id)
      ? [finding('withdrawn keys are dead', `${id} ran ${sentAt - withdrawn.ackedAt} ms after`)]
      : [];
  });

/** A key that was never withdrawn, and is known everywhere, isn't refused. */
const validKeys: Check = ({ attempts, withdrawals }) =>
  attempts.flatMap(({ id, key, status, entry }) => {
    const withdrawn = withdrawals.some((item) => item.key === key);
    return status === 401 && !withdrawn
      ? [finding('no configuration reverts', `${id}: ${key} refused at ${entry}`)]
      : [];
  });

/** Entry hosts to which something was done since the acknowledgement are left out: they may not have heard of it. */
const drained: Check = (record) => {
  const { attempts, drains, runs } = record;
  const entryOf = new Map(attempts.map(({ id, entry }) => [id, entry]));
  return drains.flatMap(({ engine, ackedAt }) =>
    runs
      .filter((run) => run.engine === engine && run.at > ackedAt + DRAIN_MS)
      .filter(({ id, at }) => !isTouched(record, entryOf.get(id) ?? '', ackedAt, at))
      .map(({ id, at }) =>
        finding('a leaving engine gets nothing new', `${id} at ${engine} after ${at - ackedAt} ms`),
      ),
  );
};

/** A request that an entry host has read is answered whole though the host is stopped. */
const gracefulStop: Check = (record, runs) =>
  record.attempts.flatMap((attempt) => {
    const { id, entry, sentAt, endedAt, end } = attempt;
    const stopped = record.events.some(
      ({ kind, target, from, until }) =>
        kind === 'entryTerm' && target === entry && from <= endedAt && until >= sentAt,
    );
    const cut = stopped && end === 'broken' && runs.has(id) && !isDisturbed(record, attempt);
    return cut ? [finding('a graceful stop cuts nothing off', `${id} at ${entry}`)] : [];
  });

const oneMap: Check = ({ mixedPasses }) =>
  mixedPasses === 0 ? [] : [finding('one map a pass', `${mixedPasses} passes with two maps`)];

const acknowledgedKept: Check = ({ acked, readBack }) =>
  readBack.flatMap((version, i) =>
    version !== null && version >= acked
      ? []
      : [finding('acknowledged is kept', `control-${i + 1} reads ${version}, acked ${acked}`)],
  );

/** What has ended three engines is soon sent to none any more, whoever has died or stood still before. */
const fatalHeld: Check = (record) => {
  const entryOf = new Map(record.attempts.map(({ id, entry }) => [id, entry]));
  const bodies = new Set(record.fatalRuns.map(({ body }) => body));
  return [...bodies].flatMap((body) => {
    const ends = record.engineEnds.filter((end) => end.body === body).map(({ at }) => at);
    const third = [...ends].sort((x, y) => x - y)[FATAL_ENDS - 1] ?? Infinity;
    const late = record.fatalRuns.filter(
      (run) =>
        run.body === body &&
        run.at > third + NEWS_MS &&
        !isDisturbed(
          { events: record.events, engineEnds: [] },
          { sentAt: run.at, endedAt: run.at },
        ),
    );
    const seen = late.map(
      ({ id, at }) =>
        `${id} by ${entryOf.get(id)} ${Math.round(at - third)} ms after the third end`,
    );
    return late.length > MOST_FATAL_RUNS
      ? [finding('what ends engines is held', `"${body}" ran too late as ${seen.join(', ')}`)]
      : [];
  });
};

const noOwnEnds: Check = ({ ownEnds }) =>
  ownEnds.map((name) => finding('no process ends by itself', name));

const recovers: Check = ({ servedAtEnd, passesAtEnd }) => [
  ...(servedAtEnd > 0 ? [] : [finding('serves again', 'no request was served at the end')]),
  ...(passesAtEnd > 0 ? [] : [finding('serves again', 'the group stands still at the end')]),
];

const CHECKS: readonly Check[] = [
  atMostOnce,
  refusedNotRun,
  noUnknownRequests,
  withdrawnKeys,
  validKeys,
  drained,
  gracefulStop,
  oneMap,
  acknowledgedKept,
  fatalHeld,
  noOwnEnds,
  recovers,
];

/** When the newest key of a version may be used: it is in force everywhere by then. */
export function usableFrom(ackedAt: number): number {
  return ackedAt + APPLY_MS;
}

/** All broken promises in a record. */
export function checkRecord(record: SoakRecord): readonly SoakFinding[] {
  const runs = new Map<string, SoakRun[]>();
  record.runs.forEach((run) => runs.set(run.id, [...(runs.get(run.id) ?? []), run]));
  return [
    ...checkAnswers(record, runs),
    ...CHECKS.flatMap((check) => check(record, runs)),
    ...checkNeeds(record),
  ];
}
