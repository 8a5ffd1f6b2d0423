/** How each kind of disturbance is carried out, from outside the processes. */
import { setTimeout as delay } from 'node:timers/promises';
import type { StandInPlatform } from '../platform/__tests__/utils/StandInPlatform.js';
import type { SoakEngines } from './SoakEngines.js';
import { ODDITIES, type SoakOddity } from './SoakOddities.js';
import type { SoakOperator } from './SoakOperator.js';
import type { ProxyMode, SoakProxy } from './SoakProxy.js';
import type { SoakFault, SoakFaultKind } from './SoakSchedule.js';
import type { SoakDrain } from './SoakTypes.js';

/** What a disturbance may use. */
export interface FaultContext {
  readonly fault: SoakFault;
  readonly platform: StandInPlatform;
  readonly proxy: SoakProxy;
  readonly engines: SoakEngines;
  readonly operator: SoakOperator;
  readonly drained: (drain: SoakDrain) => void;
  readonly now: () => number;
  readonly alone: (names: readonly string[], task: () => Promise<void>) => Promise<void>;
}

/** Number of a host, by its name. */
function numberOf(target: string): number {
  return Number(target.split('-')[1]);
}

type CarryOut = (context: FaultContext) => Promise<void>;

async function sleep(ms: number): Promise<void> {
  await delay(ms);
}

const kill: CarryOut = async ({ fault: { target, forMs }, platform, alone }) =>
  alone([target], async () => {
    await platform.signal(target, 'SIGKILL');
    await delay(forMs);
    await platform.restart(target);
  });

const pause: CarryOut = async ({ fault: { target, forMs }, platform, alone }) =>
  alone([target], async () => {
    await platform.signal(target, 'SIGSTOP');
    await delay(forMs);
    await platform.signal(target, 'SIGCONT');
  });

const CONTROLS = ['control-1', 'control-2', 'control-3'];

/** Holds a host's data back, or delays it, for a while. */
function inMode(mode: ProxyMode): CarryOut {
  return async ({ fault: { target, forMs }, proxy, alone }) =>
    alone([`link of ${target}`], async () => {
      proxy.setMode(target, mode);
      await delay(forMs);
      proxy.setMode(target, 'pass');
    });
}

/** Lets an engine misbehave for a while. */
function misbehave(set: (engines: SoakEngines, n: number, on: boolean) => void): CarryOut {
  return async ({ fault: { target, forMs }, engines }) => {
    set(engines, numberOf(target), true);
    await delay(forMs);
    set(engines, numberOf(target), false);
  };
}

/** Unusual answers of an engine, for a while. */
const ODD_FAULTS = Object.fromEntries(
  ODDITIES.map((oddity) => [oddity, misbehave((engines, n, on) => engines.setOdd(n, oddity, on))]),
) as Record<SoakOddity, CarryOut>;

/** Each kind of disturbance; resolves once it is over. */
export const FAULTS: Readonly<Record<SoakFaultKind | SoakOddity, CarryOut>> = {
  ...ODD_FAULTS,
  entryKill: kill,
  entryPause: pause,
  entryTerm: async ({ fault: { target, forMs }, platform, alone }) =>
    alone([target], async () => {
      await platform.signal(target, 'SIGTERM');
      await delay(forMs);
      await platform.restart(target);
    }),
  controlKill: kill,
  controlPause: pause,
  // All three are kept from being ended beside it: a second loss would lose more disks than is borne.
  controlWipe: async ({ fault: { target, forMs }, platform, alone }) =>
    alone(CONTROLS, async () => {
      await platform.signal(target, 'SIGKILL');
      await platform.wipeData(numberOf(target));
      await delay(forMs);
      await platform.restart(target);
      await delay(3_000);
    }),
  controlKillAll: async ({ fault: { forMs }, platform, alone }) =>
    alone(CONTROLS, async () => {
      await Promise.all(CONTROLS.map(async (name) => platform.signal(name, 'SIGKILL')));
      await delay(forMs);
      await Promise.all(CONTROLS.map(async (name) => platform.restart(name)));
    }),
  endpointKill: kill,
  endpointPause: pause,
  hangUp: async ({ fault: { target }, platform, alone }) =>
    alone([target], async () => platform.signal(target, 'SIGHUP')),
  engineCrash: async ({ fault: { target, forMs }, engines, alone }) =>
    alone([target], async () => engines.crash(numberOf(target), forMs, sleep)),
  drain: async ({ fault: { target, forMs }, engines, drained, now, alone }) =>
    alone([target], async () => {
      const drain = await engines.drain(numberOf(target), now);
      if (drain !== null) {
        drained(drain);
      }
      await delay(forMs);
      await engines.renew(numberOf(target));
    }),
  engineBreak: misbehave((engines, n, on) => engines.setBreaking(n, on)),
  engineLate: misbehave((engines, n, on) => engines.setLate(n, on)),
  orderLost: misbehave((engines, n, on) => engines.setLosingOrders(n, on)),
  linkReset: async ({ fault: { target }, proxy }) => proxy.reset(target),
  linkSilent: async ({ fault: { target }, proxy }) => proxy.silence(target),
  linkDelay: inMode('delay'),
  cutInward: inMode('cutInward'),
  cutOutward: inMode('cutOutward'),
  configure: async ({ operator }) => operator.configure(),
  withdraw: async ({ operator }) => operator.withdraw(),
};
