import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  countRequest,
  earnedRetries,
  EMPTY_RETRY_BUDGET,
  grantRetries,
  mayGrantRetries,
  mayStillSend,
  moveEarnedRetry,
  NO_RETRY_GRANTS,
  onFounded,
  onHostsProven,
  spendEarnedRetry,
  type ClockReading,
  type RetryBudgetState,
  type RetryGrantsState,
} from '../../index.js';
import { arrivalsAt, worstRetryWindow, type RetryAllowance } from '../../../protocol/index.js';
import {
  RETRY_POLICY,
  runRetryModel,
  type RetryModelEvent,
  type RetryPolicy,
  type RetryScenario,
} from '../utils/RetryModel.js';

const ALLOWANCE: RetryAllowance = { ratio: 0.2, extra: 94, windowMs: 10_000 };

/** Schedules of the property in one run; more by hand. */
const SCHEDULES = Number(process.env.RETRY_SCHEDULES ?? 60);

/** Schedules within which each mutant must be found. */
const MUTANT_SCHEDULES = 150;

function at(ms: number): ClockReading {
  return { monotonic: ms, wall: ms };
}

/** Counts requests at an even rate from `from` to `ms`. */
function requestsUntil(
  ms: number,
  perSecond: number,
  from = 0,
  before = EMPTY_RETRY_BUDGET,
): RetryBudgetState {
  let state = before;
  for (let now = from; now <= ms; now += 1_000 / perSecond) {
    state = countRequest(state, at(now), ALLOWANCE);
  }
  return state;
}

function spendAll(state: RetryBudgetState, now: number): number {
  let remaining = state;
  for (let taken = 0; taken < 1_000; taken += 1) {
    const { state: next, allowed } = spendEarnedRetry(remaining, at(now), ALLOWANCE);
    remaining = next;
    if (!allowed) {
      return taken;
    }
  }
  return Infinity;
}

describe('earned retries', () => {
  it('are paid for with requests that are neither too old nor all from now', () => {
    const state = requestsUntil(20_000, 50);
    assert.equal(spendAll(state, 20_000), 30);
    assert.equal(spendAll(requestsUntil(0, 50), 0), 0);
    assert.equal(spendAll(state, 40_000), 0);
  });

  it('are not paid for with requests from before a suspension', () => {
    const state = requestsUntil(20_000, 50);
    const resumed = { monotonic: 20_010, wall: 25_000 };
    const { allowed } = spendEarnedRetry(state, resumed, ALLOWANCE);
    assert.equal(allowed, false);
    assert.ok(earnedRetries(state, at(20_000), ALLOWANCE) >= 1);
  });

  it('may arrive later without being paid for twice, where requests pay for it then', () => {
    const spent = spendEarnedRetry(requestsUntil(20_000, 50), at(20_000), ALLOWANCE).state;
    const later = requestsUntil(21_000, 50, 20_020, spent);
    const moved = moveEarnedRetry(later, at(20_000), at(21_000), ALLOWANCE);
    assert.ok(moved.allowed);
    const once = spendEarnedRetry(requestsUntil(21_000, 50), at(21_000), ALLOWANCE).state;
    assert.deepEqual(moved.state.buckets.slice(-5), once.buckets.slice(-5));
    assert.equal(spendAll(moved.state, 21_000), spendAll(once, 21_000));
  });

  // Guards against retries that are held up on the way and arrive in a window that no requests pay for.
  it('may not arrive later where no requests pay for it then', () => {
    const spent = spendEarnedRetry(requestsUntil(20_000, 50), at(20_000), ALLOWANCE).state;
    const moved = moveEarnedRetry(spent, at(20_000), at(40_000), ALLOWANCE);
    assert.deepEqual(moved, { state: spent, allowed: false });
  });

  it('may not be sent late, or after a suspension', () => {
    assert.ok(mayStillSend(at(0), at(500)));
    assert.ok(!mayStillSend(at(0), at(501)));
    assert.ok(!mayStillSend(at(0), { monotonic: 10, wall: 3_000 }));
  });
});

describe('granted retries', () => {
  const names = ['c1', 'c2', 'c3'];

  function member(now: number, state: RetryGrantsState = NO_RETRY_GRANTS): RetryGrantsState {
    return onHostsProven(state, 'c1', names, at(now), ALLOWANCE);
  }

  it('come from an even share of the control hosts, over a window', () => {
    const { state, count } = grantRetries(
      member(0, onFounded(NO_RETRY_GRANTS)),
      's',
      99,
      at(0),
      ALLOWANCE,
    );
    assert.equal(count, 31);
    const later = member(11_000, state);
    assert.equal(grantRetries(later, 's', 1, at(11_000), ALLOWANCE).count, 0);
    assert.equal(grantRetries(later, 'other', 1, at(11_000), ALLOWANCE).count, 1);
    assert.equal(grantRetries(later, 's', 99, at(11_501), ALLOWANCE).count, 31);
  });

  // Guards against a control process that grants again what its predecessor has just granted.
  it('are withheld by a process that has restarted until older grants have expired', () => {
    const restarted = member(16_499, member(0));
    assert.ok(!mayGrantRetries(restarted, at(16_499), ALLOWANCE));
    assert.ok(mayGrantRetries(member(16_500, restarted), at(16_500), ALLOWANCE));
  });

  // Guards against a founder that was removed and grants at once when it is back, before the others count it.
  it('are withheld by a founder that the log names again until the others count it', () => {
    const founder = member(0, onFounded(NO_RETRY_GRANTS));
    const removed = onHostsProven(founder, 'c1', ['c2', 'c3'], at(20_000), ALLOWANCE);
    const back = member(40_000, removed);
    assert.ok(!mayGrantRetries(back, at(40_000), ALLOWANCE));
    assert.ok(mayGrantRetries(member(56_500, back), at(56_500), ALLOWANCE));
  });

  it('are withheld without a recent proof of the control hosts', () => {
    const state = member(0, onFounded(NO_RETRY_GRANTS));
    assert.ok(mayGrantRetries(state, at(4_999), ALLOWANCE));
    assert.ok(!mayGrantRetries(state, at(5_000), ALLOWANCE));
    assert.ok(!mayGrantRetries(state, { monotonic: 100, wall: 4_000 }, ALLOWANCE));
    assert.ok(!mayGrantRetries(onFounded(NO_RETRY_GRANTS), at(0), ALLOWANCE));
  });

  it('are shared with a control host that has left until its grants have expired', () => {
    const before = member(0, onFounded(NO_RETRY_GRANTS));
    const left = onHostsProven(before, 'c1', ['c1', 'c2'], at(16_000), ALLOWANCE);
    assert.equal(grantRetries(left, 's', 99, at(16_000), ALLOWANCE).count, 31);
    const expired = onHostsProven(left, 'c1', ['c1', 'c2'], at(17_000), ALLOWANCE);
    assert.equal(grantRetries(expired, 's', 99, at(17_000), ALLOWANCE).count, 47);
  });
});

const KINDS: readonly RetryModelEvent['kind'][] = [
  'restartEntry',
  'restartAllEntries',
  'joinEntry',
  'restartControl',
  'restartAllControls',
  'replaceControl',
  'freezeEntry',
  'freezeControl',
  'setClock',
  'cut',
  'cutFor',
  'heal',
  'concentrate',
  'spread',
];

const FOR_MS = 45_000;

const EVENTS = fc.array(
  fc.record({
    at: fc.nat({ max: FOR_MS - 5_000 }),
    kind: fc.constantFrom(...KINDS),
    node: fc.nat({ max: 20 }),
    ms: fc.integer({ min: 300, max: 8_000 }),
  }),
  { minLength: 2, maxLength: 16 },
);

const SCENARIOS: fc.Arbitrary<RetryScenario> = fc.record({
  entries: fc.integer({ min: 2, max: 10 }),
  controls: fc.integer({ min: 3, max: 6 }),
  perSecond: fc.integer({ min: 10, max: 60 }),
  failing: fc.constantFrom(0.3, 1),
  forMs: fc.constant(FOR_MS),
  events: EVENTS,
});

/** Partitions that last some seconds each, beside demand that uses the allowance up. */
const SHORT_PARTITIONS: fc.Arbitrary<RetryScenario> = fc.record({
  entries: fc.integer({ min: 2, max: 10 }),
  controls: fc.constant(3),
  perSecond: fc.integer({ min: 50, max: 60 }),
  failing: fc.constant(1),
  forMs: fc.constant(FOR_MS),
  events: fc.array(
    fc.record({
      at: fc.integer({ min: 12_000, max: FOR_MS - 10_000 }),
      kind: fc.constantFrom('cutFor', 'cutFor', 'cutFor', 'cutFor', 'restartEntry', 'concentrate'),
      node: fc.nat({ max: 20 }),
      ms: fc.integer({ min: 3_500, max: 8_000 }),
    }),
    { minLength: 2, maxLength: 6 },
  ),
});

/** Partitions between control hosts, beside demand that uses the allowance up. */
const CONTROL_PARTITIONS: fc.Arbitrary<RetryScenario> = fc.record({
  entries: fc.integer({ min: 6, max: 10 }),
  controls: fc.integer({ min: 3, max: 6 }),
  perSecond: fc.integer({ min: 50, max: 60 }),
  failing: fc.constant(1),
  forMs: fc.constant(FOR_MS),
  events: fc.array(
    fc.record({
      at: fc.nat({ max: FOR_MS - 15_000 }),
      kind: fc.constantFrom('cut', 'cut', 'heal', 'replaceControl'),
      node: fc.nat({ max: 20 }),
      ms: fc.constant(0),
    }),
    { minLength: 2, maxLength: 6 },
  ),
});

/** Asserts that no window of a simulation has more retries than allowed. */
function assertWithinAllowance(scenario: RetryScenario, policy: RetryPolicy, seed: number): void {
  const { requests, retries } = runRetryModel(scenario, ALLOWANCE, policy, seed);
  const worst = worstRetryWindow(requests, arrivalsAt(retries), ALLOWANCE);
  assert.ok(worst.retries <= worst.allowed, JSON.stringify(worst));
}

function checkPolicy(
  policy: RetryPolicy,
  schedules: number,
  scenarios: fc.Arbitrary<RetryScenario> = SCENARIOS,
): void {
  fc.assert(
    fc.property(scenarios, fc.nat(), (scenario, seed) =>
      assertWithinAllowance(scenario, policy, seed),
    ),
    { seed: Number(process.env.RETRY_SEED ?? 61), numRuns: schedules, endOnFailure: true },
  );
}

/** A wrong decision, and the scenarios that show it. */
interface Mutant extends Partial<RetryPolicy> {
  readonly scenarios?: fc.Arbitrary<RetryScenario>;
}

const MUTANTS: Readonly<Record<string, Mutant>> = {
  'forgets its grants at a restart': { restarted: onFounded(NO_RETRY_GRANTS) },
  'leaves retries on their way without an allowance': {
    abortsExpired: false,
    scenarios: SHORT_PARTITIONS,
  },
  'divides by those reached now': {
    countedHosts: (_named, reached) => reached,
    provesInMinority: true,
    scenarios: CONTROL_PARTITIONS,
  },
  'earns retries with each request of its own last window': {
    spendEarned: (state, now, allowance) => {
      const { buckets } = state;
      const index = Math.floor(now.monotonic / 250);
      const recent = buckets.filter((bucket) => bucket.index > index - 40);
      const sum = (count: 'requests' | 'retries'): number =>
        recent.reduce((total, bucket) => total + bucket[count], 0);
      const allowed = sum('retries') + 1 <= allowance.ratio * sum('requests') + 10;
      const last = buckets.at(-1);
      const added = { index, requests: last?.requests ?? 0, retries: (last?.retries ?? 0) + 1 };
      return {
        state: allowed ? { ...state, buckets: [...buckets.slice(0, -1), added] } : state,
        allowed,
      };
    },
  },
};

describe('retries of all hosts together', () => {
  // Guards against hosts that keep their bounds each by itself and break that of the service together.
  it('stay within the allowance through restarts, partitions, joins, suspensions and set clocks', () => {
    checkPolicy(RETRY_POLICY, SCHEDULES);
  });

  // Guards against retries that a partition holds up and that arrive together when it heals.
  it('stay within the allowance where partitions hold up what was sent', () => {
    checkPolicy(RETRY_POLICY, SCHEDULES, SHORT_PARTITIONS);
  });

  Object.entries(MUTANTS).forEach(([name, mutant]) => {
    it(`exceed the allowance where a process ${name}`, () => {
      const { scenarios, ...policy } = mutant;
      assert.throws(() => checkPolicy({ ...RETRY_POLICY, ...policy }, MUTANT_SCHEDULES, scenarios));
    });
  });

  it('use most of the allowance where the demand is there, also at one host', () => {
    const scenario = { entries: 9, controls: 3, perSecond: 40, failing: 1, forMs: FOR_MS };
    const shares = [[], [{ at: 0, kind: 'concentrate', node: 4, ms: 0 }] as const].map((events) => {
      const { requests, retries } = runRetryModel(
        { ...scenario, events },
        ALLOWANCE,
        RETRY_POLICY,
        1,
      );
      const from = 20_000;
      const allowed = ALLOWANCE.ratio * requests.filter((time) => time >= from).length;
      const periods = (FOR_MS - from) / ALLOWANCE.windowMs;
      return retries.filter((time) => time >= from).length / (allowed + ALLOWANCE.extra * periods);
    });
    assert.ok(
      shares.every((share) => share > 0.6),
      JSON.stringify(shares),
    );
  });
});
