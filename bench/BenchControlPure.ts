/** Cost of pure decisions at full deployment size, in this process. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  deterministicSubset,
  hashText,
  initRouting,
  rendezvousOrder,
  routeRequest,
  updateRouting,
} from '../src/coordination/index.js';
import { makeMember } from './BenchFixtures.js';
import { report, round } from './BenchReport.js';

/** Reports how evenly subsets cover the endpoints of an AZ, compared with rendezvous hashing alone. */
export function benchSubset(seed: number): void {
  const entries = Array.from({ length: 87 }, (_item, i) => `entry-${seed}-${i}`);
  const endpoints = Array.from({ length: 264 }, (_item, i) => `endpoint-${seed}-${i}`);
  const cover = (choose: (entry: string) => readonly string[]): object => {
    const uses = new Map(endpoints.map((id) => [id, 0]));
    entries.flatMap(choose).forEach((id) => uses.set(id, (uses.get(id) ?? 0) + 1));
    const counts = [...uses.values()];
    return { least: Math.min(...counts), most: Math.max(...counts) };
  };
  report('control-cost', {
    case: 'subset',
    seed,
    entries: 87,
    endpoints: 264,
    dealt: cover((entry) => deterministicSubset(endpoints, entries, entry, 32)),
    rendezvous: cover((entry) => rendezvousOrder(hashText(entry), endpoints).slice(0, 32)),
  });
}

/** Measures the time of one routing decision, us, by the number of endpoints of the service. */
export function benchRoute(endpoints: number, seed: number): readonly [number, number] {
  const rng = xoroshiro128plus(seed);
  const records = Array.from({ length: endpoints }, (_item, i) => ({
    ...makeMember('endpoint', i),
    offer: { fleet: 'fleet', service: 's', slots: 32 },
  }));
  const state = updateRouting(initRouting('az-1'), { type: 'members', records }, 0);
  const decide = (count: number): number => {
    const startedAt = performance.now();
    for (let i = 0; i < count; i += 1) {
      routeRequest(state, { service: 'fleet/s', prefix: i, exclude: [] }, 10_000 + i, rng);
    }
    return ((performance.now() - startedAt) * 1000) / count;
  };
  decide(3_000);
  const us = round(decide(3_000));
  report('control-cost', { case: 'route', seed, endpoints, decisionUs: us });
  return [endpoints, us];
}
