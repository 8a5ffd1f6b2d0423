import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ConsensusState, ContactReport, ReportedContact } from '../../ConsensusTypes.js';
import { isVoterUnreachable, mergeReport } from '../../ConsensusContacts.js';
import { nextVoterChange } from '../../index.js';
import { ConsensusCluster } from '../utils/ConsensusCluster.js';

const MEMBERS = { voters: ['a', 'b', 'c', 'd'], learners: [] };

/** Runs without further faults; the leader checks its voters every 100 ms. */
function run(cluster: ConsensusCluster, ms: number): void {
  const until = cluster.now + ms;
  while (cluster.now < until) {
    const next = cluster.now + 100;
    cluster.runUntil(() => cluster.now >= next);
    const { leader, now } = cluster;
    const heardAt = (id: string) => cluster.heardAt(leader?.id ?? '', id);
    const change =
      leader && nextVoterChange(leader, { now, heardAt, leaving: new Set(), lossesBorne: 1 });
    if (leader !== undefined && change) {
      cluster.input(leader.id, { type: 'members', id: 'm', members: change.members });
    }
  }
}

/** A cluster with a leader, and its other voters. */
function startCluster(): { cluster: ConsensusCluster; leader: string; others: readonly string[] } {
  const cluster = new ConsensusCluster(MEMBERS);
  cluster.runUntil(() => cluster.leader !== undefined && cluster.committed.size > 0);
  const leader = cluster.leader?.id ?? '';
  return { cluster, leader, others: MEMBERS.voters.filter((id) => id !== leader) };
}

const reportAt = (askedAt: number, ms: number, heard = true): ContactReport => ({
  askedAt,
  ages: { c: { ms, heard } },
});

/** Whether a leader that has heard nothing of c, elected at 6 s, treats it as unreachable at 10 s. */
function isUnreachableBy(...contacts: readonly Readonly<Record<string, ReportedContact>>[]) {
  const elected = { next: 1, match: 0, heardAt: 6_000, round: 0, inFlight: null };
  const [b = {}, d = {}] = contacts;
  const progress = { b: { ...elected, contacts: b }, c: elected, d: { ...elected, contacts: d } };
  const state = { id: 'a', members: MEMBERS, progress } as unknown as ConsensusState;
  return isVoterUnreachable(state, 'c', { now: 10_000, heardAt: () => undefined });
}

describe('isVoterUnreachable', () => {
  // Guards against a lost host that keeps its vote as long as leaders keep restarting: only the voter that didn't
  // restart knows how long the host has been silent.
  it('drops a lost voter in time although two leaders in a row restart', () => {
    const { cluster, others } = startCluster();
    const lost = others[0] ?? '';
    cluster.remove(lost);
    [1_000, 1_500].forEach((ms) => {
      run(cluster, ms);
      cluster.restart(cluster.leader?.id ?? '');
    });
    run(cluster, 1_500);
    assert.ok(cluster.leader !== undefined && !cluster.leader.members.voters.includes(lost));
  });

  // Guards against a healthy voter that loses its vote because a partition hides it from the leader alone.
  it('keeps a voter that only the leader cannot reach, and drops it once it is lost', () => {
    const { cluster, leader, others } = startCluster();
    const hidden = others[0] ?? '';
    cluster.cutLink(leader, hidden);
    run(cluster, 10_000);
    assert.deepEqual([cluster.leader?.id, cluster.leader?.members], [leader, MEMBERS]);
    cluster.remove(hidden);
    run(cluster, 4_000);
    assert.equal(cluster.leader?.members.voters.includes(hidden), false);
  });

  // Guards against replies that arrive late or twice and hide that the voter has been heard since.
  it('ignores reports that are older than one that it has', () => {
    const silent = mergeReport({}, reportAt(9_900, 4_000), 9_950);
    const heard = mergeReport(
      mergeReport({}, reportAt(9_800, 10), 9_850),
      reportAt(9_700, 4_000),
      9_990,
    );
    assert.equal(isUnreachableBy(silent, silent), true);
    assert.equal(isUnreachableBy(silent, heard), false);
    const stale = mergeReport({}, reportAt(8_000, 4_000), 8_050);
    assert.equal(isUnreachableBy(silent, mergeReport(stale, reportAt(8_000, 4_000), 9_990)), false);
  });

  // Guards against a voter that is dropped on the word of a process that has had no time to connect to it.
  it('counts a restarted replica only once it has had the time to connect', () => {
    const silent = mergeReport({}, reportAt(9_900, 4_000), 9_950);
    const restarted = (ms: number) => mergeReport({}, reportAt(9_900, ms, false), 9_950);
    assert.equal(isUnreachableBy(silent, restarted(100)), false);
    assert.equal(isUnreachableBy(silent, restarted(600)), true);
    const contact = mergeReport(
      mergeReport({}, reportAt(9_000, 0), 9_050),
      reportAt(9_900, 600, false),
      9_950,
    );
    assert.equal(isUnreachableBy(silent, contact), false);
  });
});
