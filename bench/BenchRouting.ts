/** How evenly entry hosts spread requests over ranks whose load they see late, compared with common policies. */
import { chooseRank, workAt, type GroupSlots } from '../src/coordination/index.js';
import { report, round } from './BenchReport.js';
import { simulateRouting, ROUTING_SHAPES, type RoutingPolicy } from './BenchRoutingModel.js';

function listRanks(groups: readonly GroupSlots[]): readonly string[] {
  return groups.flatMap(({ ranks }) => ranks.map(({ endpoint }) => endpoint));
}

/** Round robin with one counter shared by all hosts, which real hosts couldn't have. */
function roundRobin(): RoutingPolicy {
  let turn = 0;
  return (groups) => {
    const ranks = listRanks(groups);
    turn += 1;
    return ranks[turn % ranks.length] ?? null;
  };
}

/** Chooses the rank with the least known work: its own and, in full, that of others by the last report. */
const leastRequests: RoutingPolicy = (groups, own, _zone, random) => {
  const scored = groups.flatMap((state) =>
    state.ranks.map((rank) => ({
      endpoint: rank.endpoint,
      score: workAt(state, rank, own) + random() * 0.5,
    })),
  );
  return scored.reduce((a, b) => (b.score < a.score ? b : a)).endpoint;
};

/** Chooses the less loaded of two ranks drawn at random. */
const twoChoices: RoutingPolicy = (groups, own, _zone, random) => {
  const all = groups.flatMap((state) => state.ranks.map((rank) => ({ state, rank })));
  const drawn = [0, 1].flatMap(() => all[Math.floor(random() * all.length)] ?? []);
  const scored = drawn.map(({ state, rank }) => ({
    endpoint: rank.endpoint,
    score: workAt(state, rank, own),
  }));
  return scored.reduce((a, b) => (b.score < a.score ? b : a)).endpoint;
};

const POLICIES: Readonly<Record<string, () => RoutingPolicy>> = {
  'this system': () => (groups, own, zone, random) => chooseRank(groups, own, zone, [], random),
  'round robin': roundRobin,
  'least requests': () => leastRequests,
  'two choices': () => twoChoices,
};

/** Prints one line per shape and policy. */
export async function benchRouting(seed: number): Promise<void> {
  Object.entries(ROUTING_SHAPES).forEach(([shape, size]) => {
    Object.entries(POLICIES).forEach(([policy, make]) => {
      const { maxOverMean, queued, remote } = simulateRouting(size, make(), seed);
      report('routing', {
        seed,
        shape,
        policy,
        maxOverMean: round(maxOverMean),
        queued: round(queued),
        remote: round(remote),
      });
    });
  });
}
