import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  initConsensus,
  stepConsensus,
  type ConsensusEntry,
  type ConsensusInput,
  type ConsensusMembers,
  type ConsensusMessage,
  type ConsensusOutput,
  type ConsensusRecovery,
  type ConsensusState,
} from '../../index.js';

const IDS = ['a', 'b', 'c', 'd'] as const;
const MEMBERS: ConsensusMembers = { voters: ['a', 'b', 'c'], learners: ['d'] };

interface Packet {
  readonly from: string;
  readonly to: string;
  readonly message: ConsensusMessage;
}

/** Replicas over a network that loses, doubles and reorders, with disks that keep what is synced. */
class Cluster {
  now = 0;

  packets: Packet[] = [];

  readonly committed = new Map<number, string>();

  readonly leaders = new Map<number, string>();

  readonly #rng = xoroshiro128plus(7);

  readonly #disks = new Map<string, ConsensusRecovery>();

  readonly #states = new Map<string, ConsensusState>();

  constructor() {
    IDS.forEach((id) => {
      const snapshot = { index: 0, term: 0, members: MEMBERS, image: [] };
      this.#disks.set(id, { hard: { term: 0, vote: null }, snapshot, log: [] });
      this.restart(id);
    });
  }

  state(id: string): ConsensusState {
    return this.#states.get(id) as ConsensusState;
  }

  get leader(): ConsensusState | undefined {
    return IDS.map((id) => this.state(id)).find(({ role }) => role === 'leader');
  }

  /** Starts a replica from its disk: all else it knew is gone. */
  restart(id: string): void {
    const recovery = this.#disks.get(id) as ConsensusRecovery;
    this.#states.set(id, initConsensus(id, recovery, { now: this.now, rng: this.#rng }));
  }

  input(id: string, input: ConsensusInput): readonly ConsensusOutput[] {
    const { state, outputs } = stepConsensus(this.state(id), input, {
      now: this.now,
      rng: this.#rng,
    });
    this.#states.set(id, state);
    outputs.forEach((output) => this.#perform(id, output));
    return outputs;
  }

  deliver(at: number): void {
    const packet = this.packets[at % Math.max(1, this.packets.length)];
    if (packet !== undefined) {
      this.input(packet.to, { type: 'message', from: packet.from, message: packet.message });
    }
  }

  /** Lets time pass at one replica. */
  tick(id: string, ms: number): void {
    this.now += ms;
    this.input(id, { type: 'tick' });
  }

  drop(at: number): void {
    this.packets = this.packets.filter((_packet, i) => i !== at % this.packets.length);
  }

  /** Runs on without faults until a condition holds. */
  settle(done: () => boolean): void {
    for (let i = 0; i < 4_000 && !done(); i += 1) {
      this.now += 10;
      IDS.forEach((id) => this.input(id, { type: 'tick' }));
      const { packets } = this;
      this.packets = [];
      packets.forEach(({ from, to, message }) =>
        this.input(to, { type: 'message', from, message }),
      );
    }
    assert.ok(done(), 'did not settle');
  }

  #perform(id: string, output: ConsensusOutput): void {
    const disk = this.#disks.get(id) as ConsensusRecovery;
    const handlers: Readonly<Partial<Record<ConsensusOutput['type'], (out: never) => void>>> = {
      persistHard: ({ hard }: Extract<ConsensusOutput, { type: 'persistHard' }>) =>
        this.#disks.set(id, { ...disk, hard }),
      persistEntries: ({ from, entries }: Extract<ConsensusOutput, { type: 'persistEntries' }>) => {
        const kept = disk.log.filter(({ index }) => index < from);
        this.#disks.set(id, { ...disk, log: [...kept, ...entries] });
      },
      persistSnapshot: ({ snapshot }: Extract<ConsensusOutput, { type: 'persistSnapshot' }>) => {
        const log = this.state(id).log.filter(({ index }) => index > snapshot.index);
        this.#disks.set(id, { ...disk, snapshot, log });
      },
      send: ({ to, message }: Extract<ConsensusOutput, { type: 'send' }>) => {
        this.packets.push({ from: id, to, message });
      },
      commit: ({ entries }: Extract<ConsensusOutput, { type: 'commit' }>) => this.#commit(entries),
      role: ({ role, term }: Extract<ConsensusOutput, { type: 'role' }>) => {
        if (role === 'leader') {
          assert.equal(this.leaders.get(term) ?? id, id, `two leaders in term ${term}`);
          this.leaders.set(term, id);
        }
      },
    };
    handlers[output.type]?.(output as never);
  }

  #commit(entries: readonly ConsensusEntry[]): void {
    entries.forEach(({ index, term, payload }) => {
      const text = JSON.stringify([term, payload]);
      assert.equal(this.committed.get(index) ?? text, text, `two entries at index ${index}`);
      this.committed.set(index, text);
    });
  }
}

type Action = readonly [kind: number, at: number];

const ACTIONS: readonly ((cluster: Cluster, at: number, n: number) => void)[] = [
  (cluster, at) => cluster.deliver(at),
  (cluster, at) => cluster.deliver(at),
  (cluster, at) => {
    cluster.deliver(at);
    cluster.drop(at);
  },
  (cluster, at) => cluster.drop(at),
  (cluster, at) => cluster.tick(IDS[at % IDS.length] ?? 'a', 10 + (at % 400)),
  (cluster, at) => cluster.tick(IDS[at % IDS.length] ?? 'a', 10 + (at % 400)),
  (cluster, at, n) => {
    cluster.input(IDS[at % 3] ?? 'a', { type: 'propose', id: `${n}`, command: n });
  },
  (cluster, at) => cluster.restart(IDS[at % IDS.length] ?? 'a'),
  (cluster, at) => {
    const state = cluster.state(IDS[at % IDS.length] ?? 'a');
    cluster.input(state.id, { type: 'compact', index: state.commit, image: state.commit });
  },
  (cluster, at) => {
    const voters = at % 2 === 0 ? ['a', 'b', 'c', 'd'] : ['a', 'b', 'd'];
    const members = { voters, learners: [] };
    cluster.input(IDS[at % 3] ?? 'a', { type: 'members', id: 'm', members });
  },
];

describe('stepConsensus', () => {
  // Messages are lost, doubled and late; replicas restart from their disks, compact, and change
  // voters. In no order of these may a term have two leaders or an index two committed entries, and
  // afterwards the cluster must accept again.
  it('keeps its promises under random schedules', () => {
    const action = fc.tuple(fc.nat(ACTIONS.length - 1), fc.nat(1_000));
    fc.assert(
      fc.property(fc.array(action, { minLength: 50, maxLength: 400 }), (actions) => {
        const cluster = new Cluster();
        (actions as readonly Action[]).forEach(([kind, at], n) => ACTIONS[kind]?.(cluster, at, n));
        const before = new Map(cluster.committed);
        cluster.settle(() => cluster.leader !== undefined);
        cluster.input(cluster.leader?.id ?? '', { type: 'propose', id: 'x', command: 'last' });
        cluster.settle(() => [...cluster.committed.values()].some((text) => text.includes('last')));
        before.forEach((text, index) => assert.equal(cluster.committed.get(index), text));
      }),
      { seed: 20_261_202, numRuns: 300 },
    );
  });

  // The leader is cut off and still believes that it leads. It must refuse what callers propose
  // once it has been out of touch, and its reads must never be answered.
  it('steps down and refuses when out of touch with a quorum', () => {
    const cluster = new Cluster();
    cluster.settle(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const id = cluster.leader?.id ?? '';
    const read = cluster.input(id, { type: 'read', id: 'r' });
    assert.ok(read.every(({ type }) => type !== 'readReady'));
    cluster.now += 2_000;
    const outputs = cluster.input(id, { type: 'tick' });
    assert.ok(outputs.some((output) => output.type === 'refused' && output.id === 'r'));
    assert.equal(cluster.state(id).role, 'follower');
  });

  // A replica was cut off, and campaigned in vain. When it returns, a healthy leader must go on.
  it('lets a replica that returns disturb nobody', () => {
    const cluster = new Cluster();
    cluster.settle(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const { id, term } = cluster.leader as ConsensusState;
    const other = IDS.find((one) => one !== id) ?? 'a';
    for (let i = 0; i < 20; i += 1) {
      cluster.now += 100;
      IDS.filter((one) => one !== other).forEach((one) => cluster.input(one, { type: 'tick' }));
      cluster.input(other, { type: 'tick' });
      const kept = cluster.packets.filter(({ from, to }) => from !== other && to !== other);
      cluster.packets = [];
      kept.forEach(({ from, to, message }) =>
        cluster.input(to, { type: 'message', from, message }),
      );
    }
    cluster.settle(() => cluster.state(other).leader === id);
    assert.deepEqual([cluster.leader?.id, cluster.leader?.term], [id, term]);
  });

  it('brings a replica far behind up by a snapshot', () => {
    const cluster = new Cluster();
    cluster.settle(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const { id } = cluster.leader as ConsensusState;
    for (let i = 0; i < 10; i += 1) {
      cluster.input(id, { type: 'propose', id: `${i}`, command: i });
    }
    cluster.packets = cluster.packets.filter(({ to }) => to !== 'd');
    cluster.settle(() => cluster.state(id).commit >= 11);
    cluster.input(id, { type: 'compact', index: cluster.state(id).commit, image: 'image' });
    cluster.restart('d');
    cluster.settle(() => cluster.state('d').commit === cluster.state(id).commit);
    assert.equal(cluster.state('d').members.learners[0], 'd');
  });

  it('changes one voter at a time', () => {
    const cluster = new Cluster();
    cluster.settle(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const { id } = cluster.leader as ConsensusState;
    const others = ['a', 'b', 'c'].filter((one) => one !== id);
    const change = (voters: readonly string[]): string =>
      cluster
        .input(id, { type: 'members', id: 'm', members: { voters, learners: [] } })
        .map(({ type }) => type)[0] ?? '';
    assert.equal(change([id, 'd', 'e']), 'refused');
    assert.equal(change([id, ...others, 'd']), 'proposed');
    assert.equal(change([id, ...others]), 'refused');
  });
});
