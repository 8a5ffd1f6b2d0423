/** A coordinator freezes while it changes the map of an idle group, and one of its orders is carried out late. */
import { setTimeout as delay } from 'node:timers/promises';
import { Engine } from '../lib/engine.mjs';
import { Group } from '../lib/group.mjs';
import { configOf, Platform, waitUntil } from '../lib/platform.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const RANKS = 3;
/** A pass with writers takes 5 steps of 5.85 ms and more; the two that read the prompt of a first request, one step each. */
const PASS_MS = 32;
const READ_PASSES_MS = [14, 11];
const FREEZE_MS = 850;
/** An order without an answer is carried out this long after it was sent, or later, ms. */
const LATE_MS = 2_000;
const LATE_MARGIN_MS = 50;
const LATE_ARMS = 1;
const ATTEMPTS = hasTrouble ? 4 : 1;
const LINK_MBPS = 3_400;
const EXPERT_MB = 780;
const COPY_MS = (EXPERT_MB * 8 * 1_000) / LINK_MBPS;

const MODEL = {
  name: 'writers',
  healthPath: '/healthz',
  maxConns: 338,
  protocol: 'h1',
  tls: false,
  engine: {
    slots: 8,
    kvCapacity: 248_000,
    linkMbps: LINK_MBPS,
    stride: 5,
    models: [{ name: 'm' }],
    step_ms: 5.85,
    per_seq_ms: 0.5325,
    context_per_k: 0.054,
    read_per_s: 61_200,
    pairs_per_m: 0.325,
    chunk: 512,
    report_lag_ms: 200,
    usual: { prompt: 835, answer: 138 },
    sets: 1,
    experts: 8,
    placements: 5,
    spares: 2,
    expertMb: EXPERT_MB,
    expertFraction: 0.85,
    form_ms: 600,
  },
};

/** Adds a line to record.txt, to which run.sh directs the output. */
const write = (text) => process.stdout.write(`${text}\n`);

/** One attempt with new processes; resolves with the passes that began while ranks had different maps. */
async function attempt(number) {
  const startedAt = performance.now();
  const log = (text) =>
    write(`${number}. ${Math.round(performance.now() - startedAt)} ms: ${text}`);
  const platform = await Platform.start({ entries: 1, endpoints: RANKS });
  const group = new Group(RANKS, {
    passMs: PASS_MS,
    readPassesMs: READ_PASSES_MS,
    copyMs: COPY_MS,
  });
  const engines = group.ranks.map((rank, i) => {
    const host = platform.ip(`endpoint-${i + 1}`);
    return new Engine(platform, `i-${i + 1}`, 'writers', host, { rank });
  });
  const state = { holder: null, holds: 0, lateGo: null, lateArms: 0, orders: 0, unanswered: 0 };

  const carryOut = (rank, order) => {
    const status = rank.apply(order);
    const { operation, version = '', step = '' } = order;
    log(`rank ${rank.index}: ${operation} ${version} ${step}: ${status}; pass ${group.step}`);
    return status;
  };

  /** The coordinator's host freezes as its first hold is carried out. */
  const freeze = (rank) => {
    const name = `endpoint-${rank.index + 1}`;
    state.holder = rank;
    platform.signal(name, 'SIGSTOP');
    log(`${name} is frozen`);
    setTimeout(() => {
      platform.signal(name, 'SIGCONT');
      log(`${name} goes on`);
    }, FREEZE_MS);
  };

  /** Whether an order gets no answer and is carried out late. */
  const isLate = (rank, { operation, step }) => {
    if (!hasTrouble || state.holder === null) {
      return false;
    }
    if (operation === 'go' && rank === state.holder && state.lateGo === null) {
      state.lateGo = { step, at: performance.now() };
      return true;
    }
    const isArm = operation === 'arm' && rank.index === (state.holder.index + 1) % RANKS;
    state.lateArms += Number(isArm);
    return isArm && state.lateArms <= LATE_ARMS;
  };

  const onArmed = (order) => {
    const { lateGo, holder } = state;
    if (lateGo !== null && !lateGo.isDone && performance.now() - lateGo.at >= LATE_MS) {
      lateGo.isDone = true;
      log(`carried out ${Math.round(performance.now() - lateGo.at)} ms late:`);
      carryOut(holder, { operation: 'go', step: lateGo.step, epoch: order.epoch });
    }
  };

  group.ranks.forEach((rank) => {
    // eslint-disable-next-line no-param-reassign
    rank.onOrder = (order, send) => {
      state.orders += 1;
      if (isLate(rank, order)) {
        state.unanswered += 1;
        log(`rank ${rank.index}: ${order.operation} ${order.step} gets no answer`);
        if (order.operation !== 'go') {
          setTimeout(() => carryOut(rank, order), LATE_MS + LATE_MARGIN_MS);
        }
        return;
      }
      if (order.operation === 'prepare' && state.holds === 0) {
        // The last stream ends: the group is idle from here on.
        group.hasWork = false;
      }
      if (order.operation === 'reservation') {
        state.holds += 1;
        if (hasTrouble && state.holds === 1) {
          freeze(rank);
        } else {
          // A request comes, so that the group has work again.
          group.addWork();
        }
      }
      send(carryOut(rank, order), {});
      if (order.operation === 'arm') {
        onArmed(order);
      }
    };
  });

  try {
    await Promise.all(engines.map(async (engine) => engine.start()));
    const route = { name: 'r-1', pathPrefix: '/lohu930/', service: 'writers' };
    await platform.configure(configOf(1, [route], [MODEL]));
    await waitUntil('the map is changed or the ranks differ', () => {
      const isChanged = group.ranks.every(({ version }) => version > 0);
      return group.mixed.length > 0 || isChanged;
    }).catch((err) => log(err.message));
    await delay(200);
    group.mixed.forEach(({ step, versions }) =>
      log(`pass ${step} began with the maps ${versions.join(', ')} at the ranks`),
    );
    log(`${state.orders} orders, ${state.unanswered} of them without an answer`);
    return group.mixed.length;
  } finally {
    group.stop();
    engines.forEach((engine) => engine.stop());
    await platform.stop();
  }
}

let exitCode = 2;
try {
  let mixed = 0;
  for (let number = 1; number <= ATTEMPTS && mixed === 0; number += 1) {
    // eslint-disable-next-line no-await-in-loop
    mixed = await attempt(number);
  }
  write(`MAP: ${mixed} passes began while ranks had different maps`);
  exitCode = mixed > 0 ? 1 : 0;
} catch (err) {
  write(`could not run: ${err.stack}`);
}
// Connections of the stand-ins that are still open must not keep the process running.
// eslint-disable-next-line n/no-process-exit
process.exit(exitCode);
