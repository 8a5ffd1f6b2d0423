/** Injects each kind of fault, from outside the processes. */
import { setTimeout as delay } from 'node:timers/promises';
import type { StandInPlatform } from '../platform/__tests__/utils/StandInPlatform.js';
import type { SoakEngines } from './SoakEngines.js';
import { UNUSUAL_ANSWERS, type SoakUnusualAnswer } from './SoakUnusualAnswers.js';
import type { SoakOperator } from './SoakOperator.js';
import type { ProxyMode, SoakProxy } from './SoakProxy.js';
import type { SoakFault } from './SoakSchedule.js';
import type { SoakDrain } from './SoakTypes.js';

/** What a fault injector may use. */
export interface FaultContext {
  readonly fault: SoakFault;
  readonly platform: StandInPlatform;
  readonly proxy: SoakProxy;
  readonly engines: SoakEngines;
  readonly operator: SoakOperator;
  readonly recordDrain: (drain: SoakDrain) => void;
  readonly recordDeparture: (departure: SoakDrain) => void;
  readonly now: () => number;
  readonly runExclusively: (names: readonly string[], task: () => Promise<void>) => Promise<void>;
}

/** Number at the end of a host's name, as in `entry-2`. */
function hostNumberOf(target: string): number {
  return Number(target.split('-')[1]);
}

/** How long an engine serves after its late heartbeat, ms. */
const AFTER_LATE_HEARTBEAT_MS = 2_000;

type FaultInjector = (context: FaultContext) => Promise<void>;

async function sleep(ms: number): Promise<void> {
  await delay(ms);
}

const kill: FaultInjector = async ({ fault: { target, forMs }, platform, runExclusively }) =>
  runExclusively([target], async () => {
    await platform.signal(target, 'SIGKILL');
    await delay(forMs);
    await platform.restart(target);
  });

const pause: FaultInjector = async ({ fault: { target, forMs }, platform, runExclusively }) =>
  runExclusively([target], async () => {
    await platform.signal(target, 'SIGSTOP');
    await delay(forMs);
    await platform.signal(target, 'SIGCONT');
  });

const CONTROL_HOSTS = ['control-1', 'control-2', 'control-3'];

/** Cuts or delays a host's data for the duration of the fault. */
function withProxyMode(mode: ProxyMode): FaultInjector {
  return async ({ fault: { target, forMs }, proxy, runExclusively }) =>
    runExclusively([`link of ${target}`], async () => {
      proxy.setMode(target, mode);
      await delay(forMs);
      proxy.setMode(target, 'pass');
    });
}

/** Makes an engine misbehave for the duration of the fault. */
function misbehave(set: (engines: SoakEngines, n: number, on: boolean) => void): FaultInjector {
  return async ({ fault: { target, forMs }, engines }) => {
    set(engines, hostNumberOf(target), true);
    await delay(forMs);
    set(engines, hostNumberOf(target), false);
  };
}

/** Unusual answers of an engine, for the duration of the fault. */
const UNUSUAL_ANSWER_INJECTORS = Object.fromEntries(
  UNUSUAL_ANSWERS.map((kind) => [
    kind,
    misbehave((engines, n, on) => engines.setUnusualAnswer(n, kind, on)),
  ]),
) as Record<SoakUnusualAnswer, FaultInjector>;

/** Injector of each kind of fault; it resolves once the fault is over. */
export const FAULT_INJECTORS: Readonly<Record<SoakFault['kind'], FaultInjector>> = {
  ...UNUSUAL_ANSWER_INJECTORS,
  coldStart: async ({ fault: { target, forMs }, engines, runExclusively }) =>
    runExclusively([target], async () => engines.restartCold(hostNumberOf(target), forMs, sleep)),
  entryKill: kill,
  entryPause: pause,
  entryTerm: async ({ fault: { target, forMs }, platform, runExclusively }) =>
    runExclusively([target], async () => {
      await platform.signal(target, 'SIGTERM');
      await delay(forMs);
      await platform.restart(target);
    }),
  controlKill: kill,
  controlPause: pause,
  // Reserves all three hosts, so that no other control process is killed meanwhile: a second loss could exceed the
  // number of lost disks that is tolerated.
  controlWipe: async ({ fault: { target, forMs }, platform, runExclusively }) =>
    runExclusively(CONTROL_HOSTS, async () => {
      await platform.signal(target, 'SIGKILL');
      await platform.wipeData(hostNumberOf(target));
      await delay(forMs);
      await platform.restart(target);
      await delay(3_000);
    }),
  controlKillAll: async ({ fault: { forMs }, platform, runExclusively }) =>
    runExclusively(CONTROL_HOSTS, async () => {
      await Promise.all(CONTROL_HOSTS.map(async (name) => platform.signal(name, 'SIGKILL')));
      await delay(forMs);
      await Promise.all(CONTROL_HOSTS.map(async (name) => platform.restart(name)));
    }),
  endpointKill: kill,
  endpointPause: pause,
  hangUp: async ({ fault: { target }, platform, runExclusively }) =>
    runExclusively([target], async () => platform.signal(target, 'SIGHUP')),
  engineCrash: async ({ fault: { target, forMs }, engines, runExclusively }) =>
    runExclusively([target], async () => engines.crash(hostNumberOf(target), forMs, sleep)),
  drain: async ({ fault: { target, forMs }, engines, recordDrain, now, runExclusively }) =>
    runExclusively([target], async () => {
      const drain = await engines.drain(hostNumberOf(target), now);
      if (drain !== null) {
        recordDrain(drain);
      }
      await delay(forMs);
      await engines.replace(hostNumberOf(target));
    }),
  deregister: async ({ fault: { target, forMs }, engines, recordDeparture, now, runExclusively }) =>
    runExclusively([target], async () => {
      const departure = await engines.deregister(hostNumberOf(target), now);
      if (departure !== null) {
        recordDeparture(departure);
      }
      await delay(forMs);
      await engines.sendLateHeartbeat(hostNumberOf(target));
      await delay(AFTER_LATE_HEARTBEAT_MS);
      await engines.replace(hostNumberOf(target));
    }),
  engineBreak: misbehave((engines, n, on) => engines.setBreakingStreams(n, on)),
  engineLate: misbehave((engines, n, on) => engines.setDelayed(n, on)),
  orderLost: misbehave((engines, n, on) => engines.setDroppingOrderReplies(n, on)),
  linkReset: async ({ fault: { target }, proxy }) => proxy.reset(target),
  linkSilent: async ({ fault: { target }, proxy }) => proxy.silence(target),
  linkDelay: withProxyMode('delay'),
  cutInward: withProxyMode('cutInward'),
  cutOutward: withProxyMode('cutOutward'),
  configure: async ({ operator }) => operator.addKey(),
  withdraw: async ({ operator }) => operator.revokeOldestKey(),
};
