/**
 * Change of the expert map of a group whose ranks switch at a pass that each was armed for: all of
 * them must go over before the same pass, though orders get lost, or are carried out seconds later.
 *
 * One rank is told to hold the group before the pass of the switch, and that is confirmed before the
 * first rank is armed; it is released only once every rank is seen armed. So the pass can't begin
 * while ranks differ, whatever became of any order. Each try has a version and a pass of its own:
 * an order of an earlier try that is carried out late meets a version that is no longer prepared or
 * a pass that has begun, and changes nothing. The coordinator sends what the newest reports lack
 * again and again, and believes reports, never the fate of its orders.
 */
import type { EngineOrder, RankReport } from '../protocol/index.js';
import { completeReports, ORDER_BY_PHASE } from './MapSwitchOrders.js';
import type {
  MapSwitchInput,
  MapSwitchOutput,
  MapSwitchPhase,
  MapSwitchState,
  MapSwitchStep,
} from './MapSwitchTypes.js';

/** Passes between the hold and the switch: orders take some 20 ms, a pass 45 ms or more. */
export const LEAD_PASSES = 3;

/** Passes more where orders get lost, each of which is sent again after a timeout. */
export const LOSSY_LEAD_PASSES = 8;

/** Orders without an answer after which the way is taken for lossy. */
const LOSSY_UNANSWERED_ORDERS = 3;

/** An order without an answer is sent again after this long, ms. */
export const RESEND_MS = 120;

/** A whole map may take most of a second to reach all ranks of a large group over its coordinator's link. ms. */
export const RESEND_MAP_MS = 1_500;

/** A version that isn't prepared on all ranks after this long won't be: copying takes under 1 s. In ms. */
export const PREPARE_TIMEOUT_MS = 4_000;

/** Versions of one token; a new token's versions are all higher. */
export const VERSIONS_PER_TOKEN = 100_000;

/** A coordinator without a lease. */
export function initMapSwitch(ranks: number, ownRank: number): MapSwitchState {
  return {
    ranks,
    ownRank,
    phase: 'off',
    token: 0,
    validSince: 0,
    epoch: -1,
    reports: Array.from({ length: ranks }, () => null),
    version: 0,
    map: null,
    step: 0,
    attempts: 0,
    nextOrderAt: Array.from({ length: ranks }, () => null),
    unansweredOrders: 0,
    startedAt: 0,
  };
}

function enterPhase(state: MapSwitchState, phase: MapSwitchPhase): MapSwitchStep {
  return state.phase === phase
    ? { state, outputs: [] }
    : { state: { ...state, phase }, outputs: [{ type: 'phase', phase }] };
}

function latestStep(reports: readonly RankReport[]): number {
  return Math.max(...reports.map(({ step }) => step));
}

function nextAttempt(state: MapSwitchState): Pick<MapSwitchState, 'attempts' | 'version'> {
  const attempts = state.attempts + 1;
  return { attempts, version: state.token * VERSIONS_PER_TOKEN + attempts };
}

/** All ranks armed for one version and pass: what was begun is as good as done. */
function areArmedAlike(reports: readonly RankReport[]): boolean {
  const [first] = reports;
  return reports.every(
    ({ armed }) =>
      armed !== null && armed.version === first?.armed?.version && armed.step === first.armed.step,
  );
}

/**
 * Sorts out what a predecessor left.
 *
 * Failure: a coordinator dies when some ranks are armed and the group is held, and orders of its own
 * are still to be carried out. Symptom: released as it is, the group begins a pass with two maps;
 * left as it is, it stands still. Enough: where all ranks are armed alike the change is finished;
 * else the group stays held until every rank has prepared a newer version, after which no late order
 * can arm the old one.
 */
function recoverChange(state: MapSwitchState, reports: readonly RankReport[]): MapSwitchStep {
  const isArmed = reports.some((report) => report.armed !== null);
  const isHeld = reports.some((report) => report.heldStep !== null);
  if (isArmed && areArmedAlike(reports)) {
    const [first] = reports;
    const version = first?.armed?.version ?? 0;
    return enterPhase({ ...state, version, step: first?.armed?.step ?? 0 }, 'releasing');
  }
  if (isArmed || isHeld) {
    const step = reports.find((report) => report.armed !== null)?.armed?.step ?? 0;
    return enterPhase({ ...state, ...nextAttempt(state), step }, 'voiding');
  }
  return enterPhase(state, 'idle');
}

/** How long to wait for an order's effect: a whole map takes long on its way, all else is short. */
function resendDelay({ phase }: MapSwitchState, order: EngineOrder): number {
  return phase === 'preparing' && order.kind === 'prepare' ? RESEND_MAP_MS : RESEND_MS;
}

function sendMissingOrders(state: MapSwitchState, now: number): MapSwitchStep {
  const selectOrder = ORDER_BY_PHASE[state.phase];
  if (selectOrder === undefined) {
    return { state, outputs: [] };
  }
  const nextOrderAt = [...state.nextOrderAt];
  const outputs = state.reports.flatMap((received, rank): readonly MapSwitchOutput[] => {
    const isWaiting = now < (nextOrderAt[rank] ?? -Infinity);
    const isCurrent =
      received !== null &&
      received.receivedAt >= state.validSince &&
      received.report.epoch === state.epoch;
    const order = isWaiting || !isCurrent ? null : selectOrder(state, received.report, rank);
    if (order === null) {
      return [];
    }
    nextOrderAt[rank] = now + resendDelay(state, order);
    return [{ type: 'order', rank, order }];
  });
  return { state: { ...state, nextOrderAt }, outputs };
}

function choosePass(state: MapSwitchState, reports: readonly RankReport[]): MapSwitchStep {
  const leadPasses =
    state.unansweredOrders >= LOSSY_UNANSWERED_ORDERS ? LOSSY_LEAD_PASSES : LEAD_PASSES;
  // Each pass is used once: a late order for an earlier try must find that it has begun.
  const step = Math.max(latestStep(reports) + leadPasses, state.step + 1);
  return enterPhase({ ...state, step }, 'holding');
}

type Advance = (
  state: MapSwitchState,
  reports: readonly RankReport[],
  now: number,
) => MapSwitchStep;

const stay: Advance = (state) => ({ state, outputs: [] });

function finishChange(
  state: MapSwitchState,
  reports: readonly RankReport[],
  now: number,
): MapSwitchStep {
  if (reports.some(({ mapVersion }) => mapVersion !== state.version)) {
    return { state, outputs: [] };
  }
  const step = enterPhase(
    { ...state, unansweredOrders: Math.max(0, state.unansweredOrders - 1) },
    'idle',
  );
  const { version, startedAt } = state;
  return {
    state: step.state,
    outputs: [...step.outputs, { type: 'changed', version, ms: now - startedAt }],
  };
}

/**
 * Gives a version up before anything was armed.
 *
 * Failure: the map in use isn't what this coordinator believes, so a rank has to copy more than it may
 * and refuses. Symptom: the change is never prepared, and no other begun. Enough: the version is dropped,
 * what the ranks hold is read again, and the next plan starts from there.
 */
function abandonVersion(state: MapSwitchState): MapSwitchStep {
  const step = enterPhase(state, 'idle');
  return {
    ...step,
    outputs: [...step.outputs, { type: 'abandoned', version: state.version }],
  };
}

/** What follows from a view of all ranks, by phase. */
const ADVANCE: Readonly<Partial<Record<MapSwitchPhase, Advance>>> = {
  observing: recoverChange,
  voiding: (state, reports) =>
    reports.every(({ armed, prepared }) => armed === null && prepared === state.version)
      ? enterPhase(state, 'idle')
      : { state, outputs: [] },
  preparing: (state, reports, now) => {
    if (reports.every(({ prepared }) => prepared === state.version)) {
      return choosePass(state, reports);
    }
    return now - state.startedAt > PREPARE_TIMEOUT_MS
      ? abandonVersion(state)
      : { state, outputs: [] };
  },
  holding: (state, reports) => {
    if (reports[state.ownRank]?.heldStep === state.step) {
      return enterPhase(state, 'arming');
    }
    return latestStep(reports) >= state.step ? choosePass(state, reports) : { state, outputs: [] };
  },
  arming: (state, reports) => {
    const done = reports.every(
      ({ armed }) => armed?.version === state.version && armed.step === state.step,
    );
    return done ? enterPhase(state, 'releasing') : { state, outputs: [] };
  },
  releasing: finishChange,
};

/** Goes through as many phases as the view allows, then sends what is lacking. */
function proceed(step: MapSwitchStep, now: number): MapSwitchStep {
  const { state } = step;
  const reports = completeReports(state);
  const advanced = reports === null ? null : (ADVANCE[state.phase] ?? stay)(state, reports, now);
  if (advanced !== null && advanced.state.phase !== state.phase) {
    const fresh = { ...advanced.state, nextOrderAt: state.nextOrderAt.map(() => null) };
    return proceed({ state: fresh, outputs: [...step.outputs, ...advanced.outputs] }, now);
  }
  const sent = sendMissingOrders(advanced?.state ?? state, now);
  return { state: sent.state, outputs: [...step.outputs, ...sent.outputs] };
}

/** The group has formed anew: maps, orders and holds are all forgotten. */
function onEpoch(state: MapSwitchState, epoch: number, now: number): MapSwitchStep {
  const next: MapSwitchState = {
    ...state,
    epoch,
    validSince: now,
    reports: state.reports.map(() => null),
    step: 0,
    map: null,
    nextOrderAt: state.nextOrderAt.map(() => null),
  };
  const observing = enterPhase(next, 'observing');
  return { ...observing, outputs: [...observing.outputs, { type: 'reset', epoch }] };
}

function onReport(
  state: MapSwitchState,
  { rank, report }: Extract<MapSwitchInput, { type: 'report' }>,
  now: number,
): MapSwitchStep {
  if (state.phase === 'off' || report.epoch < state.epoch) {
    return { state, outputs: [] };
  }
  const step: MapSwitchStep =
    report.epoch > state.epoch ? onEpoch(state, report.epoch, now) : { state, outputs: [] };
  const reports = step.state.reports.map((received, i) =>
    i === rank ? { report, receivedAt: now } : received,
  );
  return proceed({ ...step, state: { ...step.state, reports } }, now);
}

/**
 * Begins under a lease.
 *
 * Failure: a lease runs out while control elects a leader, and is granted to its holder again with the
 * same token. Symptom: versions that began anew would be refused by every rank as long as the group
 * lives, and late orders of an earlier try would meet the same version with another map. Enough: tries
 * are counted through all leases of the process.
 */
function onGained(
  state: MapSwitchState,
  { token }: Extract<MapSwitchInput, { type: 'gained' }>,
  now: number,
): MapSwitchStep {
  const fresh = initMapSwitch(state.ranks, state.ownRank);
  const { attempts } = state;
  return enterPhase({ ...fresh, token, attempts, validSince: now }, 'observing');
}

function onAnswer(
  state: MapSwitchState,
  { rank, result }: Extract<MapSwitchInput, { type: 'answer' }>,
): MapSwitchStep {
  const unansweredOrders =
    result === 'unknown'
      ? Math.min(2 * LOSSY_UNANSWERED_ORDERS, state.unansweredOrders + 1)
      : state.unansweredOrders;
  // The next report tells whether it is lacking still; one that failed at once isn't repeated at once.
  const nextOrderAt = state.nextOrderAt.map((at, i) =>
    i === rank && result === 'unknown' ? null : at,
  );
  return { state: { ...state, unansweredOrders, nextOrderAt }, outputs: [] };
}

type Handlers = {
  readonly [T in MapSwitchInput['type']]: (
    state: MapSwitchState,
    input: Extract<MapSwitchInput, { type: T }>,
    now: number,
  ) => MapSwitchStep;
};

const HANDLERS: Handlers = {
  gained: onGained,
  lost: (state) => enterPhase(state, 'off'),
  report: onReport,
  answer: onAnswer,
  mapInUse: (state, { map }, now) =>
    state.phase === 'observing' || state.phase === 'voiding'
      ? proceed({ state: { ...state, map }, outputs: [] }, now)
      : { state, outputs: [] },
  propose: (state, { map }, now) =>
    state.phase === 'idle'
      ? proceed(
          enterPhase({ ...state, ...nextAttempt(state), map, startedAt: now }, 'preparing'),
          now,
        )
      : { state, outputs: [] },
  tick: (state, _input, now) => proceed({ state, outputs: [] }, now),
};

/** One step of a coordinator. */
export function stepMapSwitch(
  state: MapSwitchState,
  input: MapSwitchInput,
  now: number,
): MapSwitchStep {
  const handler = HANDLERS[input.type] as (
    state: MapSwitchState,
    input: MapSwitchInput,
    now: number,
  ) => MapSwitchStep;
  return handler(state, input, now);
}
