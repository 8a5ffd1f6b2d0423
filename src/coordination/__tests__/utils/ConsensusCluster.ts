/** Replicas of the log on a simulated network, for tests. */
import assert from 'node:assert/strict';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  initConsensus,
  stepConsensus,
  type ConsensusContext,
  type ConsensusEntry,
  type ConsensusInput,
  type ConsensusMembers,
  type ConsensusMessage,
  type ConsensusOutput,
  type ConsensusRecovery,
  type ConsensusState,
  type ReplicaContact,
} from '../../index.js';

interface Packet {
  readonly from: string;
  readonly to: string;
  readonly message: ConsensusMessage;
}

/**
 * Replicas on a network that loses, duplicates and reorders messages, with disks that keep what was synced.
 */
export class ConsensusCluster {
  now = 0;

  packets: Packet[] = [];

  readonly committed = new Map<number, string>();

  readonly leaders = new Map<number, string>();

  readonly #rng = xoroshiro128plus(7);

  readonly #disks = new Map<string, ConsensusRecovery>();

  readonly #states = new Map<string, ConsensusState>();

  /** Replicas that are partitioned from all others, with the time since when. */
  readonly #isolated = new Map<string, number>();

  /** Links that are cut, as their two replicas, with the time since when. */
  readonly #cuts = new Map<string, number>();

  /** Start time of each replica's process, and the time of its removal. */
  readonly #startedAt = new Map<string, number>();

  readonly #removedAt = new Map<string, number>();

  /** Number of voters at the start. */
  readonly initialVoterCount: number;

  constructor(members: ConsensusMembers) {
    this.initialVoterCount = members.voters.length;
    [...members.voters, ...members.learners].forEach((id) => this.add(id, members));
  }

  /** Ids of the running replicas. */
  get ids(): readonly string[] {
    return [...this.#states.keys()];
  }

  /** Starts a replica with an empty disk, or with one that has the members of a first start. */
  add(id: string, members: ConsensusMembers = { voters: [], learners: [] }): void {
    const snapshot = { index: 0, term: 0, members, image: [] };
    this.#disks.set(id, { hard: { term: 0, vote: null }, snapshot, log: [] });
    this.restart(id);
  }

  /** Removes a replica for good, including its disk. */
  remove(id: string): void {
    this.#removedAt.set(id, this.now);
    this.#states.delete(id);
    this.#disks.delete(id);
  }

  state(id: string): ConsensusState {
    return this.#states.get(id) as ConsensusState;
  }

  /** Replaces a part of a replica's state. */
  replaceState(id: string, part: Partial<ConsensusState>): void {
    this.#states.set(id, { ...this.state(id), ...part });
  }

  get leader(): ConsensusState | undefined {
    const reachable = this.ids.filter((id) => !this.#isolated.has(id));
    return reachable.map((id) => this.state(id)).find(({ role }) => role === 'leader');
  }

  /** Partitions a replica from all others, which are not notified. */
  isolate(id: string): void {
    this.#isolated.set(id, this.now);
  }

  /** Cuts the link between two replicas. */
  cutLink(a: string, b: string): void {
    this.#cuts.set([a, b].sort().join(), this.now);
  }

  /** Time since when two replicas can't reach each other; undefined if they can. */
  #cutSince(a: string, b: string): number | undefined {
    const since = [
      this.#isolated.get(a),
      this.#isolated.get(b),
      this.#cuts.get([a, b].sort().join()),
      this.#states.has(b) ? undefined : (this.#removedAt.get(b) ?? 0),
    ].filter((at) => at !== undefined);
    return since.length === 0 ? undefined : Math.min(...since);
  }

  isIsolated(id: string): boolean {
    return this.#isolated.has(id);
  }

  /** Ends the partition of a replica and restarts it from its disk. */
  reconnectAndRestart(id: string): void {
    this.#isolated.delete(id);
    this.restart(id);
  }

  /** Ends all partitions. */
  heal(): void {
    this.#isolated.clear();
    this.#cuts.clear();
  }

  /** Restarts a replica from its disk; everything else that it knew is lost. */
  restart(id: string): void {
    const recovery = this.#disks.get(id) as ConsensusRecovery;
    this.#startedAt.set(id, this.now);
    this.#states.set(id, initConsensus(id, recovery, this.#contextOf(id)));
  }

  /** One process's last contact with another replica over the link between them; forgotten at a restart. */
  heardAt(by: string, id: string): ReplicaContact {
    const startedAt = this.#startedAt.get(by) ?? 0;
    const at = this.#cutSince(by, id) ?? this.now;
    return { at: Math.max(at, startedAt), heard: at >= startedAt };
  }

  #contextOf(id: string): ConsensusContext {
    return { now: this.now, rng: this.#rng, heardAt: (other) => this.heardAt(id, other) };
  }

  input(id: string, input: ConsensusInput): readonly ConsensusOutput[] {
    const { state, outputs } = stepConsensus(this.state(id), input, this.#contextOf(id));
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

  /** Delivers all messages in flight and those that follow from them; time stands still. */
  deliverAll(): void {
    while (this.packets.length > 0) {
      const { packets } = this;
      this.packets = [];
      packets.forEach(({ from, to, message }) =>
        this.input(to, { type: 'message', from, message }),
      );
    }
  }

  /** Advances the clock and ticks one replica. */
  tick(id: string, ms: number): void {
    this.now += ms;
    this.input(id, { type: 'tick' });
  }

  drop(at: number): void {
    this.packets = this.packets.filter((_packet, i) => i !== at % this.packets.length);
  }

  /** Drops all messages in flight. */
  dropAll(): void {
    this.packets = [];
  }

  /** Runs without faults until a condition holds. */
  runUntil(done: () => boolean): void {
    for (let i = 0; i < 4_000 && !done(); i += 1) {
      this.now += 10;
      this.ids.forEach((id) => this.input(id, { type: 'tick' }));
      const packets = this.packets.filter(
        ({ from, to }) => this.#states.has(to) && this.#cutSince(from, to) === undefined,
      );
      this.packets = [];
      packets.forEach(({ from, to, message }) =>
        this.input(to, { type: 'message', from, message }),
      );
    }
    assert.ok(done(), 'the condition did not hold in time');
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
