/**
 * Change of the expert map of a group whose ranks switch at a pass that each was armed for. All of them must
 * switch before the same pass, even if orders are lost or carried out seconds later.
 *
 * One rank is ordered to hold the group before the pass of the switch, and must confirm it before the first rank
 * is armed; it is released only once every rank is reported armed. So the pass can't begin while ranks differ,
 * whatever happened to any order. Each attempt has its own version and pass: an order of an earlier attempt that
 * is carried out late finds that its version is no longer prepared or its pass has begun, and changes nothing. The
 * coordinator keeps sending the orders that the latest reports show to be missing, and relies on reports only,
 * never on the results of its orders.
 *
 * A hold and its release name nothing but their pass. No attempt names a pass that is more than
 * {@link LOSSY_LEAD_PASSES} ahead of the last one begun, and none is made before the group has begun the pass of the one
 * before. So all passes that orders of earlier coordinators may name have begun once the group has begun that many
 * passes after a lease was gained. An idle group thus waits for work before its map is changed again.
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

/** Passes between the order to hold and the switch: orders take some 20 ms, a pass 45 ms or more. */
export const LEAD_PASSES = 3;

/** The same if orders get lost, each of which is sent again after a timeout. */
export const LOSSY_LEAD_PASSES = 8;

/** Number of recent unanswered orders from which the connection is considered lossy. */
const LOSSY_UNANSWERED_ORDERS = 3;

/** An order whose effect isn't reported is sent again after this time, ms. */
export const RESEND_MS = 120;

/**
 * The same for an order with a whole map, which may take most of a second to reach all ranks of a large group over
 * the coordinator's link, ms.
 */
export const RESEND_MAP_MS = 1_500;

/** A version that isn't prepared on all ranks after this time is abandoned, ms: copying takes less than 1 s. */
export const PREPARE_TIMEOUT_MS = 4_000;

/** Version of the map that a group has when it forms. */
export const FIRST_MAP_VERSION = 0;

/** Number of versions per token; the versions of a new token are all higher. */
export const VERSIONS_PER_TOKEN = 100_000;

/** State of a coordinator without a lease. */
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
    usedUpTo: null,
    heldAt: 0,
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

/**
 * The highest pass that an order of an earlier attempt may name, by the reports of all ranks. The group is held only
 * once all ranks have prepared a version, so no order names a pass while none has prepared any.
 */
function highestUsedPass(reports: readonly RankReport[]): number {
  const isUnchanged = reports.every(
    ({ mapVersion, prepared, copying, armed, heldStep }) =>
      mapVersion === FIRST_MAP_VERSION &&
      prepared === null &&
      !copying &&
      armed === null &&
      heldStep === null,
  );
  const named = reports.flatMap(({ armed, heldStep }) => [armed?.step ?? 0, heldStep ?? 0]);
  return isUnchanged ? 0 : Math.max(latestStep(reports) + LOSSY_LEAD_PASSES, ...named);
}

/** Whether all ranks are armed for the same version and pass, so that only the release is missing. */
function areArmedAlike(reports: readonly RankReport[]): boolean {
  const [first] = reports;
  return reports.every(
    ({ armed }) =>
      armed !== null && armed.version === first?.armed?.version && armed.step === first.armed.step,
  );
}

/**
 * Handles an unfinished change of a predecessor.
 *
 * A coordinator may crash while some ranks are armed, the group is held and some of its orders are still to be
 * carried out. If the group were released as it is, a pass would use two maps; if it were left as it is, the group
 * would stay blocked. If all ranks are armed alike, the change is finished; otherwise the group stays held until
 * every rank has prepared a newer version, after which no late order can arm the old one.
 */
function recoverChange(observed: MapSwitchState, reports: readonly RankReport[]): MapSwitchStep {
  const state = { ...observed, usedUpTo: highestUsedPass(reports) };
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

/**
 * Time to wait for an order's effect, ms; it is longer while a change is prepared, for an order with the whole
 * map.
 */
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
      received.askedAt >= state.validSince &&
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

/** Chooses the pass of the switch, once each pass that a late order may name has begun. */
function choosePass(state: MapSwitchState, reports: readonly RankReport[]): MapSwitchStep {
  const latest = latestStep(reports);
  if (state.usedUpTo === null || latest < state.usedUpTo) {
    return { state, outputs: [] };
  }
  const leadPasses =
    state.unansweredOrders >= LOSSY_UNANSWERED_ORDERS ? LOSSY_LEAD_PASSES : LEAD_PASSES;
  const step = latest + leadPasses;
  return enterPhase({ ...state, step, usedUpTo: step }, 'holding');
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
 * Abandons a version before any rank is armed.
 *
 * If the map in use isn't the one that this coordinator assumes, a rank would have to copy more than it may, and
 * refuses. The change would never be prepared, and no other begun. So the version is dropped, the map of the ranks
 * is read again, and the next plan starts from it.
 */
function abandonVersion(state: MapSwitchState): MapSwitchStep {
  const step = enterPhase(state, 'idle');
  return {
    ...step,
    outputs: [...step.outputs, { type: 'abandoned', version: state.version }],
  };
}

/**
 * Starts over from new reports, where the group is no longer held though some ranks may be armed. Only a release that
 * this coordinator didn't send can have caused that.
 */
function observeAgain(state: MapSwitchState, now: number): MapSwitchStep {
  const step = enterPhase({ ...state, map: null, validSince: now }, 'observing');
  return {
    ...step,
    outputs: [...step.outputs, { type: 'abandoned', version: state.version }],
  };
}

/** Whether the own rank doesn't hold the group any more, by a report that was asked for after it did. */
function hasLostHold({ reports, ownRank, heldAt, step }: MapSwitchState): boolean {
  const own = reports[ownRank] ?? null;
  return own !== null && own.askedAt >= heldAt && own.report.heldStep !== step;
}

/** Transitions once the reports of all ranks are complete, by phase. */
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
  holding: (state, reports, now) => {
    if (reports[state.ownRank]?.heldStep === state.step) {
      return enterPhase({ ...state, heldAt: now }, 'arming');
    }
    return latestStep(reports) >= state.step ? choosePass(state, reports) : { state, outputs: [] };
  },
  arming: (state, reports, now) => {
    if (hasLostHold(state)) {
      return observeAgain(state, now);
    }
    const done = reports.every(
      ({ armed }) => armed?.version === state.version && armed.step === state.step,
    );
    return done ? enterPhase(state, 'releasing') : { state, outputs: [] };
  },
  releasing: finishChange,
};

/** Advances through as many phases as the reports allow, then sends the missing orders. */
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

/** The group has re-formed, and all its maps, orders and holds are discarded. */
function onEpoch(state: MapSwitchState, epoch: number): MapSwitchStep {
  const next: MapSwitchState = {
    ...state,
    epoch,
    reports: state.reports.map(() => null),
    step: 0,
    usedUpTo: null,
    map: null,
    nextOrderAt: state.nextOrderAt.map(() => null),
  };
  const observing = enterPhase(next, 'observing');
  return { ...observing, outputs: [...observing.outputs, { type: 'reset', epoch }] };
}

function onReport(
  state: MapSwitchState,
  { rank, report, askedAt }: Extract<MapSwitchInput, { type: 'report' }>,
  now: number,
): MapSwitchStep {
  if (state.phase === 'off' || report.epoch < state.epoch) {
    return { state, outputs: [] };
  }
  const step: MapSwitchStep =
    report.epoch > state.epoch ? onEpoch(state, report.epoch) : { state, outputs: [] };
  const reports = step.state.reports.map((received, i) =>
    i === rank ? { report, askedAt } : received,
  );
  return proceed({ ...step, state: { ...step.state, reports } }, now);
}

/**
 * Starts under a lease.
 *
 * If a lease expires during a leader election, its holder may be granted it again with the same token. If versions
 * started over, every rank would refuse them as long as the group exists, and late orders of an earlier attempt
 * would name the same version with another map. So attempts are counted across all leases of the process.
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
  // After an unknown result the next report shows whether the order is still missing; a refused order isn't
  // repeated at once.
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

/** Applies an input to the state of a coordinator. */
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
