import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  lastIndex,
  type ConsensusMembers,
  type ConsensusMessage,
  type ConsensusState,
} from '../../index.js';
import { RESEND_AFTER_MS } from '../../ConsensusConstants.js';
import { ConsensusCluster } from '../utils/ConsensusCluster.js';

const IDS = ['a', 'b', 'c', 'd'] as const;
const MEMBERS: ConsensusMembers = { voters: ['a', 'b', 'c'], learners: ['d'] };

/** Longest election after a power loss, ms; part of the 0.8 s within which a first answer must come. */
const MAX_WAIT_MS = 500;

type Action = readonly [kind: number, at: number];

const ACTIONS: readonly ((cluster: ConsensusCluster, at: number, n: number) => void)[] = [
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

/** Number of entries on their way to a replica, repetitions included. */
function countSent({ packets }: ConsensusCluster, replica: string): number {
  return packets
    .filter(({ to }) => to === replica)
    .flatMap(({ message }) => (message.type === 'append' ? message.entries : [])).length;
}

/** Progress of a replica of which a new leader knows nothing yet. */
const PROBED = { next: 11, match: 0, heardAt: 0, round: 0, inFlight: null };

const isSnapshot = ({ message }: { readonly message: ConsensusMessage }): boolean =>
  message.type === 'install';

function partition<T>(items: readonly T[], has: (item: T) => boolean): [T[], T[]] {
  return [items.filter(has), items.filter((item) => !has(item))];
}

describe('stepConsensus', () => {
  // Messages are lost, duplicated and delayed; replicas restart from their disks, compact, and change
  // voters. In no order of these may a term have two leaders or an index two committed entries, and
  // afterwards the cluster must accept commands again.
  it('never has two leaders in a term or two entries at an index under random schedules', () => {
    const action = fc.tuple(fc.nat(ACTIONS.length - 1), fc.nat(1_000));
    fc.assert(
      fc.property(fc.array(action, { minLength: 50, maxLength: 400 }), (actions) => {
        const cluster = new ConsensusCluster(MEMBERS);
        (actions as readonly Action[]).forEach(([kind, at], n) => ACTIONS[kind]?.(cluster, at, n));
        const before = new Map(cluster.committed);
        cluster.runUntil(() => cluster.leader !== undefined);
        cluster.input(cluster.leader?.id ?? '', { type: 'propose', id: 'x', command: 'last' });
        cluster.runUntil(() =>
          [...cluster.committed.values()].some((text) => text.includes('last')),
        );
        before.forEach((text, index) => assert.equal(cluster.committed.get(index), text));
      }),
      { seed: 20_261_202, numRuns: 300 },
    );
  });

  // The leader is partitioned and has not noticed it. After the quorum timeout it must step down and
  // refuse its pending reads, and it must never complete them.
  it('steps down and refuses reads when it has lost contact with a quorum', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const id = cluster.leader?.id ?? '';
    const read = cluster.input(id, { type: 'read', id: 'r' });
    assert.ok(read.every(({ type }) => type !== 'readReady'));
    cluster.now += 2_000;
    const outputs = cluster.input(id, { type: 'tick' });
    assert.ok(outputs.some((output) => output.type === 'refused' && output.id === 'r'));
    assert.equal(cluster.state(id).role, 'follower');
  });

  // A replica was partitioned and its election attempts failed. When it returns, a healthy leader must
  // stay leader.
  it('keeps the leader when a partitioned replica returns', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
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
    cluster.runUntil(() => cluster.state(other).leader === id);
    assert.deepEqual([cluster.leader?.id, cluster.leader?.term], [id, term]);
  });

  // Guards against waiting a full election timeout after a power loss, during which the hosts that are up
  // can't prove their configuration.
  it('elects a leader soon after a power loss once a majority of hosts has started, one after the other', () => {
    const voters = ['a', 'b', 'c', 'd', 'e'];
    const waits = [0, 40, 90, 150, 230, 340, 480].map((gapMs) => {
      const cluster = new ConsensusCluster({ voters, learners: [] });
      cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
      voters.forEach((id) => cluster.isolate(id));
      const begun = cluster.now;
      cluster.runUntil(() => {
        const up = Math.floor((cluster.now - begun) / Math.max(1, gapMs));
        voters
          .filter((id, i) => i <= up && cluster.isIsolated(id))
          .forEach((id) => cluster.reconnectAndRestart(id));
        return cluster.leader !== undefined;
      });
      return cluster.now - (begun + 2 * gapMs);
    });
    assert.ok(Math.max(...waits) < MAX_WAIT_MS, waits.join(', '));
  });

  it('brings a replica that is far behind up to date with a snapshot', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const { id } = cluster.leader as ConsensusState;
    for (let i = 0; i < 10; i += 1) {
      cluster.input(id, { type: 'propose', id: `${i}`, command: i });
    }
    cluster.packets = cluster.packets.filter(({ to }) => to !== 'd');
    cluster.runUntil(() => cluster.state(id).commit >= 11);
    cluster.input(id, { type: 'compact', index: cluster.state(id).commit, image: 'image' });
    cluster.restart('d');
    cluster.runUntil(() => cluster.state('d').commit === cluster.state(id).commit);
    assert.equal(cluster.state('d').members.learners[0], 'd');
  });

  // Guards against a leader whose processor and links are filled with repetitions while a replica catches up.
  it('sends a replica what it lacks once, not again with each read, while its reply is on the way', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const { id } = cluster.leader as ConsensusState;
    cluster.isolate('d');
    for (let i = 0; i < 20; i += 1) {
      cluster.input(id, { type: 'propose', id: `${i}`, command: i });
    }
    cluster.runUntil(() => cluster.state(id).commit >= 21);
    cluster.heal();
    cluster.dropAll();
    cluster.now += RESEND_AFTER_MS;
    for (let i = 0; i < 50; i += 1) {
      cluster.input(id, { type: 'read', id: `read ${i}` });
    }
    const sent = countSent(cluster, 'd');
    assert.ok(sent > 0 && sent <= 20, `${sent} entries`);
    cluster.runUntil(() => cluster.state('d').commit === cluster.state(id).commit);
  });

  // Guards against the same for the snapshot that a replica with an empty disk needs.
  it('sends a replica with an empty disk one snapshot while its reply is on the way', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.isolate('d');
    cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const { id } = cluster.leader as ConsensusState;
    cluster.input(id, { type: 'compact', index: cluster.state(id).commit, image: 'image' });
    cluster.add('d');
    cluster.heal();
    cluster.dropAll();
    cluster.now += RESEND_AFTER_MS;
    for (let i = 0; i < 50; i += 1) {
      cluster.input(id, { type: 'read', id: `read ${i}` });
      const [snapshots, others] = partition(cluster.packets, isSnapshot);
      cluster.packets = snapshots;
      others.forEach(({ from, to, message }) =>
        cluster.input(to, { type: 'message', from, message }),
      );
    }
    const snapshots = cluster.packets.filter(isSnapshot);
    assert.equal(snapshots.length, 1);
    cluster.runUntil(() => cluster.state('d').commit === cluster.state(id).commit);
  });

  // Guards against a control process that applies a change only with the next heartbeat, as it was slower than others.
  it('tells a slow replica at once that what it has acknowledged is committed', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.runUntil(() => cluster.leader !== undefined && cluster.state('d').commit > 0);
    const { id } = cluster.leader as ConsensusState;
    const slow = IDS.find((one) => one !== id) ?? 'a';
    cluster.dropAll();
    cluster.input(id, { type: 'propose', id: 'x', command: 'x' });
    const [toSlow, others] = partition(cluster.packets, ({ to }) => to === slow);
    cluster.packets = others;
    cluster.deliverAll();
    assert.equal(cluster.state(id).commit, lastIndex(cluster.state(id)));
    cluster.packets = toSlow;
    cluster.deliverAll();
    assert.equal(cluster.state(slow).commit, cluster.state(id).commit);
  });

  // Guards against a transfer of the whole log after a lost one, as the reply to a heartbeat counted as one to it.
  it('sends a lost transfer again from where the replica is, not from the begin of the log', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.isolate('d');
    cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
    cluster.heal();
    cluster.runUntil(() => cluster.state('d').commit > 0);
    const { id } = cluster.leader as ConsensusState;
    const replyOf = (match: number, ok: boolean): void => {
      const message = { type: 'appendReply', term: cluster.state(id).term, ok, match, round: 0 };
      cluster.input(id, { type: 'message', from: 'd', message: message as ConsensusMessage });
    };
    for (let i = 0; i < 10; i += 1) {
      cluster.input(id, { type: 'propose', id: `${i}`, command: i });
    }
    const progress = { ...cluster.state(id).progress, d: PROBED };
    cluster.replaceState(id, { progress });
    replyOf(5, false);
    replyOf(0, true);
    cluster.dropAll();
    cluster.now += RESEND_AFTER_MS;
    cluster.input(id, { type: 'read', id: 'read' });
    const [sent] = cluster.packets.filter(({ to }) => to === 'd');
    assert.equal(sent?.message.type === 'append' && sent.message.prevIndex, 5);
  });

  // Guards against the loss of an accepted entry when a follower that holds it gets a snapshot of an earlier index.
  it('keeps the entries behind a snapshot that it receives', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
    const { id: from, term } = cluster.leader as ConsensusState;
    const follower = IDS.find((id) => id !== from) ?? 'a';
    ['compacted', 'accepted'].forEach((id) =>
      cluster.input(from, { type: 'propose', id, command: id }),
    );
    const { log, members } = cluster.state(from);
    const entries = log.slice(-2);
    const index = entries[0]?.index ?? 0;
    const fromLeader = { term, round: 0 };
    const receive = (message: ConsensusMessage): void => {
      cluster.input(follower, { type: 'message', from, message });
    };
    receive({
      type: 'append',
      prevIndex: index - 1,
      prevTerm: term,
      entries,
      commit: 0,
      ...fromLeader,
    });
    receive({
      type: 'install',
      snapshot: { index, term, members, image: 'image' },
      ...fromLeader,
    });
    assert.equal(cluster.state(follower).snapshot.index, index);
    assert.equal(lastIndex(cluster.state(follower)), index + 1);
  });

  it('changes one voter at a time', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
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
