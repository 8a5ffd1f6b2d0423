import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { leaveOutcome, nextVoterChange, type VoterView } from '../../index.js';
import { ConsensusCluster } from '../utils/ConsensusCluster.js';

const MEMBERS = { voters: ['a.1', 'b.1', 'c.1'], learners: [] };
const FIVE_MEMBERS = { voters: ['a.1', 'b.1', 'c.1', 'd.1', 'e.1'], learners: [] };

/** Interval at which a leader checks its voters, ms. */
const VOTER_CHECK_INTERVAL_MS = 100;

/** Replicas whose processes are about to stop. */
type Leaving = ReadonlySet<string>;

/** A leader's view, in which as many disks may be lost as the initial number of voters allows. */
function viewOf(
  cluster: ConsensusCluster,
  leader: string,
  leaving: Leaving = new Set(),
): VoterView {
  return {
    now: cluster.now,
    heardAt: (id) => cluster.heardAt(leader, id),
    leaving,
    lossesBorne: Math.floor((cluster.initialVoterCount - 1) / 2),
  };
}

/** Advances the clock; the leader adds new hosts as learners and checks its voters. */
function run(cluster: ConsensusCluster, ms: number, leaving: Leaving = new Set()): void {
  const until = cluster.now + ms;
  while (cluster.now < until) {
    const next = cluster.now + VOTER_CHECK_INTERVAL_MS;
    cluster.runUntil(() => cluster.now >= next);
    const { leader } = cluster;
    if (leader !== undefined) {
      const { voters, learners } = leader.members;
      const newcomer = cluster.ids.find((id) => !voters.includes(id) && !learners.includes(id));
      const members =
        newcomer === undefined
          ? nextVoterChange(leader, viewOf(cluster, leader.id, leaving))?.members
          : { voters, learners: [...learners, newcomer] };
      if (members !== undefined) {
        cluster.input(leader.id, { type: 'members', id: 'm', members });
      }
    }
  }
}

function commitCommand(cluster: ConsensusCluster, command: string): void {
  cluster.runUntil(() => cluster.leader !== undefined);
  cluster.input(cluster.leader?.id ?? '', { type: 'propose', id: command, command });
  cluster.runUntil(() => [...cluster.committed.values()].some((text) => text.includes(command)));
}

/** All hosts lose power at once, and one of them loses its disk. */
function loseDiskInPowerLoss(cluster: ConsensusCluster, lost: string, successor: string): void {
  cluster.dropAll();
  cluster.remove(lost);
  cluster.ids.forEach((id) => cluster.restart(id));
  cluster.add(successor);
}

/** The leader's host is replaced by an empty one, which becomes a voter. */
function replaceLeadersHost(cluster: ConsensusCluster): void {
  commitCommand(cluster, 'first');
  cluster.remove(cluster.leader?.id ?? '');
  run(cluster, 1_000);
  cluster.add('d.1');
  run(cluster, 1_000);
  commitCommand(cluster, 'second');
}

/** All hosts lose power and the leader loses its disk; the others must accept commands again. */
function recoverWithoutLeader(cluster: ConsensusCluster, command: string): void {
  const lost = cluster.leader?.id ?? '';
  loseDiskInPowerLoss(cluster, lost, `${lost.slice(0, 1)}.2`);
  run(cluster, 4_000);
  commitCommand(cluster, command);
}

/** How long a process that stops waits for the outcome of its leaving, ms. */
const LEAVE_TIMEOUT_MS = 2_000;

/** A host announces that it leaves, and is removed for good once the outcome is known. */
function leave(cluster: ConsensusCluster, id: string): void {
  const leaving = new Set([id]);
  const until = cluster.now + LEAVE_TIMEOUT_MS;
  const isPending = (): boolean => {
    const { leader } = cluster;
    return (
      leader === undefined ||
      leaveOutcome(leader, id, viewOf(cluster, leader.id, leaving)) === 'pending'
    );
  };
  while (isPending() && cluster.now < until) {
    run(cluster, 50, leaving);
  }
  cluster.remove(id);
}

/**
 * `behind`: a host is partitioned. `replaced`: by an empty host. `wiped`: it returns without its disk. `dark`: all
 * hosts lose power, and one its disk.
 */
type Loss = 'behind' | 'replaced' | 'wiped' | 'dark';

/** All permutations of some items. */
function permutationsOf<T>(items: readonly T[]): readonly (readonly T[])[] {
  return items.length === 0
    ? [[]]
    : items.flatMap((item) =>
        permutationsOf(items.filter((other) => other !== item)).map((rest) => [item, ...rest]),
      );
}

/**
 * Four losses, five seconds apart. A host that is partitioned stays so until five seconds after the next
 * loss.
 */
function runLosses(losses: readonly Loss[], hitsLeader: readonly boolean[]): void {
  const cluster = new ConsensusCluster(MEMBERS);
  let isPartitioned = false;
  losses.forEach((loss, n) => {
    if (!isPartitioned) {
      commitCommand(cluster, `command ${n}`);
    }
    const leader = cluster.leader?.id;
    const id = cluster.ids.find((other) => (other === leader) === hitsLeader[n]) ?? '';
    const newId = `${id.split('.')[0] ?? ''}.${n + 2}`;
    const handlers: Readonly<Record<Loss, () => void>> = {
      behind: () => cluster.isolate(id),
      replaced: () => {
        cluster.remove(id);
        cluster.add(`new${n}.1`);
      },
      wiped: () => {
        cluster.remove(id);
        cluster.add(newId);
      },
      dark: () => loseDiskInPowerLoss(cluster, id, newId),
    };
    handlers[loss]();
    run(cluster, 5_000);
    if (isPartitioned) {
      cluster.heal();
      run(cluster, 5_000);
    }
    isPartitioned = loss === 'behind';
  });
  cluster.heal();
  run(cluster, 5_000);
  commitCommand(cluster, 'last');
  const all = [...cluster.committed.values()].join();
  const lost = losses.flatMap((_loss, n) => (all.includes(`command ${n}`) ? [] : [n]));
  assert.ok(lost.every((n) => losses[n - 1] === 'behind'));
}

/** As {@link Loss}; `wipedInTheDark` is `dark` there. `afterMs` is the time until the next loss. */
const LOSS = {
  kind: fc.constantFrom('replaced', 'wiped', 'restarted', 'wipedInTheDark'),
  at: fc.nat(2),
  afterMs: fc.integer({ min: 5_000, max: 9_000 }),
};

interface SpacedLoss {
  readonly kind: string;
  readonly at: number;
  readonly afterMs: number;
  readonly killed: { readonly at: number; readonly afterMs: number } | null;
}

/** Losses with enough time between them to recover; no accepted command may be lost. */
function runSpacedLosses(losses: readonly SpacedLoss[]): void {
  const cluster = new ConsensusCluster(MEMBERS);
  losses.forEach(({ kind, at, afterMs, killed }, n) => {
    commitCommand(cluster, `command ${n}`);
    const id = cluster.ids[at % cluster.ids.length] ?? '';
    const newId = `${id.split('.')[0] ?? ''}.${n + 2}`;
    const handlers: Readonly<Record<string, () => void>> = {
      replaced: () => {
        cluster.remove(id);
        cluster.add(`new${n}.1`);
      },
      wiped: () => {
        cluster.remove(id);
        cluster.add(newId);
      },
      restarted: () => cluster.restart(id),
      wipedInTheDark: () => loseDiskInPowerLoss(cluster, id, newId),
    };
    handlers[kind]?.();
    if (killed !== null) {
      run(cluster, killed.afterMs);
      cluster.restart(cluster.ids[killed.at % cluster.ids.length] ?? '');
    }
    run(cluster, afterMs - (killed?.afterMs ?? 0));
  });
  commitCommand(cluster, 'last');
  losses.forEach((_loss, n) =>
    assert.ok([...cluster.committed.values()].some((text) => text.includes(`command ${n}`))),
  );
}

describe('nextVoterChange', () => {
  // One host is behind, one is replaced, one loses its disk, and all lose power with one more disk lost.
  // Guards against a cluster that accepts no commands after some order of these losses. In all orders, at
  // the leader or at another host, accepted commands must stay and further ones be accepted.
  permutationsOf<Loss>(['behind', 'replaced', 'wiped', 'dark']).forEach((losses) => {
    it(`accepts commands again after these losses: ${losses.join(', ')}`, () => {
      for (let hits = 0; hits < 16; hits += 1) {
        runLosses(
          losses,
          losses.map((_loss, n) => Math.floor(hits / 2 ** n) % 2 === 1),
        );
      }
    });
  });

  // A host is replaced by an empty one, which is added at once while the lost host is still a voter. Seven
  // seconds later another host loses its disk as all lose power. If the lost host were still a voter then,
  // two of four voters would be left and elect no leader: the operator would get no answers and callers
  // would be refused for good.
  it('accepts commands again after a host was replaced and another has lost its disk', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    commitCommand(cluster, 'first');
    const removed = cluster.leader?.id ?? '';
    cluster.remove(removed);
    cluster.add('d.1');
    run(cluster, 7_000);
    commitCommand(cluster, 'second');
    recoverWithoutLeader(cluster, 'third');
    assert.equal(cluster.leader?.members.voters.length, 3);
  });

  // The leader's host is replaced by an empty one; a second later the new leader's process is killed and
  // restarted. If each leader counted from its own election how long the lost host is unreachable, that
  // host would be one of four voters until a single leader has seen it unreachable for 3 s, and still be a
  // voter when another disk is lost in a power loss. Two of four are no quorum: the operator could read no
  // configuration, and callers would be refused until an operator intervenes.
  it('accepts commands again if the leader changes between the replacement and the next lost disk', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    replaceLeadersHost(cluster);
    cluster.restart(cluster.leader?.id ?? '');
    run(cluster, 3_000);
    commitCommand(cluster, 'third');
    recoverWithoutLeader(cluster, 'fourth');
    assert.equal(cluster.leader?.members.voters.length, 3);
  });

  // As above, but the process that was restarted is elected again, and counts the silence of the lost host anew.
  it('accepts commands again if the restarted process leads again when its disk is lost', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    replaceLeadersHost(cluster);
    const restarted = cluster.leader?.id ?? '';
    cluster.dropAll();
    cluster.restart(restarted);
    cluster.ids
      .filter((id) => id !== restarted)
      .forEach((id) => cluster.replaceState(id, { electionAt: cluster.now + 5_000 }));
    run(cluster, 3_000);
    commitCommand(cluster, 'third');
    assert.equal(cluster.leader?.id, restarted);
    recoverWithoutLeader(cluster, 'fourth');
  });

  // Guards against a quorum that counts a host which has left after its successor became a voter: with the next lost
  // disk, two of four voters would be left.
  [true, false].forEach((isLeader) => {
    [0, 500, 1_000, 2_500].forEach((afterMs) => {
      const who = isLeader ? 'the leader' : 'a follower';
      it(`accepts commands again if a disk is lost ${afterMs} ms after ${who} has left`, () => {
        const cluster = new ConsensusCluster(MEMBERS);
        commitCommand(cluster, 'first');
        cluster.add('d.1');
        run(cluster, 4_000);
        commitCommand(cluster, 'second');
        const id =
          MEMBERS.voters.find((voter) => (voter === cluster.leader?.id) === isLeader) ?? '';
        leave(cluster, id);
        run(cluster, afterMs);
        const wiped = MEMBERS.voters.find((voter) => cluster.ids.includes(voter)) ?? '';
        cluster.remove(wiped);
        cluster.add(`${wiped.slice(0, 1)}.2`);
        run(cluster, 4_000);
        commitCommand(cluster, 'third');
        assert.equal(cluster.leader?.members.voters.length, 3);
      });
    });
  });

  // Guards against an acknowledged change on one disk only: with two voters left, each lost disk could take it.
  it('keeps the vote of one of three hosts that stops, and promotes it again after it left as one of four', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    commitCommand(cluster, 'first');
    const [stopped = ''] = cluster.ids.filter((id) => id !== cluster.leader?.id);
    run(cluster, 1_000, new Set([stopped]));
    assert.equal(cluster.leader?.members.voters.length, 3);
    cluster.add('d.1');
    run(cluster, 1_000, new Set([stopped]));
    assert.equal(cluster.leader?.members.voters.includes(stopped), false);
    run(cluster, 1_000);
    assert.equal(cluster.leader?.members.voters.length, 4);
  });

  // As above with five hosts, which tolerate the loss of two disks. Two are replaced within a second and
  // their successors are promoted before the two count as unreachable: seven voters, an odd number, of
  // which two are lost for good. When two more disks are lost in a power loss, three of seven would elect
  // no leader.
  it('accepts commands again after two of five hosts were replaced and two have lost their disks', () => {
    const cluster = new ConsensusCluster(FIVE_MEMBERS);
    commitCommand(cluster, 'first');
    const removed = cluster.ids.filter((id) => id !== cluster.leader?.id).slice(0, 2);
    removed.forEach((id) => cluster.remove(id));
    cluster.add('f.1');
    cluster.add('g.1');
    run(cluster, 7_000);
    commitCommand(cluster, 'second');
    const [lost = '', other = ''] = cluster.ids;
    cluster.remove(other);
    loseDiskInPowerLoss(cluster, lost, `${lost.slice(0, 1)}.2`);
    cluster.add(`${other.slice(0, 1)}.2`);
    run(cluster, 4_000);
    commitCommand(cluster, 'third');
    assert.equal(cluster.leader?.members.voters.length, 5);
  });

  // One of five hosts is partitioned while another loses its disk and returns empty. If the partitioned
  // host were removed to make room for it, two of four voters would be left after a second lost disk, and
  // the third host with all accepted commands would have no vote. No command would be accepted although
  // all hosts are back.
  it('keeps the vote of a host that is partitioned while two others lose their disks', () => {
    const cluster = new ConsensusCluster(FIVE_MEMBERS);
    commitCommand(cluster, 'first');
    const [partitioned = '', wiped = '', next = ''] = cluster.ids.filter(
      (id) => id !== cluster.leader?.id,
    );
    cluster.isolate(partitioned);
    run(cluster, 4_000);
    cluster.remove(wiped);
    cluster.add(`${wiped.slice(0, 1)}.2`);
    for (let i = 0; i < 400 && cluster.leader?.members.voters.length === 5; i += 1) {
      run(cluster, 10);
    }
    cluster.remove(next);
    cluster.add(`${next.slice(0, 1)}.2`);
    run(cluster, 1_000);
    cluster.heal();
    run(cluster, 5_000);
    commitCommand(cluster, 'second');
    assert.equal(cluster.leader?.members.voters.length, 5);
  });

  // Two of five hosts are unreachable while a newcomer has caught up. If both were removed before it is
  // promoted, what the remaining three accept would be on only two disks, and an accepted change would be
  // lost with two disks, a loss that five hosts must tolerate.
  it('keeps quorums of three of five hosts, whichever are unreachable when newcomers are added', () => {
    const cluster = new ConsensusCluster(FIVE_MEMBERS);
    commitCommand(cluster, 'first');
    const removed = cluster.ids.filter((id) => id !== cluster.leader?.id).slice(0, 2);
    removed.forEach((id) => cluster.remove(id));
    run(cluster, 5_000);
    cluster.add('f.1');
    const counts = new Set<number>();
    for (let i = 0; i < 200; i += 1) {
      run(cluster, 10);
      counts.add(cluster.leader?.members.voters.length ?? 5);
    }
    assert.ok(Math.min(...counts) >= 4, `voters: ${[...counts].join(', ')}`);
    assert.equal(cluster.leader?.members.voters.includes('f.1'), true);
  });

  // Hosts are replaced, lose their disks or restart, one after the other, with enough time between the
  // losses to recover. Accepted commands must stay, and further ones be accepted.
  it('tolerates one loss after the other', () => {
    fc.assert(
      fc.property(fc.array(fc.record(LOSS), { minLength: 1, maxLength: 6 }), (losses) => {
        runSpacedLosses(losses.map((loss) => ({ ...loss, killed: null })));
      }),
      { seed: 20_261_203, numRuns: 60 },
    );
  });

  // As above, with a process killed 0.1 to 2 s after each loss; it restarts at once and loses no data.
  it('tolerates one loss after the other while processes are killed', () => {
    const killed = fc.record({ at: fc.nat(2), afterMs: fc.integer({ min: 100, max: 2_000 }) });
    fc.assert(
      fc.property(
        fc.array(fc.record({ ...LOSS, killed }), { minLength: 1, maxLength: 6 }),
        runSpacedLosses,
      ),
      { seed: 20_261_203, numRuns: 60 },
    );
  });

  it('keeps three voters though one is unreachable, and removes one of four', () => {
    const cluster = new ConsensusCluster(MEMBERS);
    commitCommand(cluster, 'first');
    const [unreachable = ''] = cluster.ids.filter((id) => id !== cluster.leader?.id);
    cluster.remove(unreachable);
    run(cluster, 8_000);
    assert.equal(cluster.leader?.members.voters.length, 3);
    cluster.add('d.1');
    run(cluster, 1_000);
    assert.deepEqual(
      [...(cluster.leader?.members.voters ?? [])].sort(),
      [...MEMBERS.voters.filter((id) => id !== unreachable), 'd.1'].sort(),
    );
  });
});
