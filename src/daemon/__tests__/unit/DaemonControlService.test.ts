import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { LEASE_MS, type ConsensusMembers } from '../../../coordination/index.js';
import type { MemberRecord } from '../../../protocol/index.js';
import type { LeaseCommand, LeaseState } from '../../../state/index.js';
import type { DaemonConsensus } from '../../DaemonConsensus.js';
import {
  DaemonControlService,
  type LeaseRequest,
  type LeaseReply,
} from '../../DaemonControlService.js';

const HELD: LeaseState = { holder: 'rank-1@20', token: 5, renewals: 0 };

const RECORD = { id: 'rank-1', incarnation: 20, status: 'serving' } as MemberRecord;

/** A leader that was elected just now, whose proposals are committed at once. */
function openService(record: MemberRecord): DaemonControlService {
  const members = { voters: ['c'], learners: [] };
  const consensus = {
    state: { id: 'c', term: 1, role: 'leader', members, progress: {} },
    control: { leases: { g: HELD } },
    propose: async ({ group, holder, durationMs, after }: LeaseCommand) => ({
      result: 'granted',
      lease: { group, holder, durationMs, token: after.token + 1 },
    }),
  };
  return new DaemonControlService({
    consensus: consensus as unknown as DaemonConsensus,
    log: pino({ level: 'silent' }),
    now: () => 0,
    heardAt: () => undefined,
    lossesBorne: 1,
    recordOf: (id) => (id === record.id ? record : undefined),
  });
}

async function requestAsRival(
  record: MemberRecord,
  observe: boolean,
): Promise<LeaseReply['result']> {
  const request: LeaseRequest = {
    group: 'g',
    holder: 'rank-2@30',
    durationMs: LEASE_MS,
    after: { token: HELD.token },
    observe,
  };
  return (await openService(record).requestLease(request)).result;
}

/** A leader of three founding voters that has committed a document at index 7, which two of them hold. */
function openFoundingService(matches: Record<string, number>): DaemonControlService {
  const members = { voters: ['a', 'b', 'c'], learners: [] };
  const reply = { result: 'accepted', fleet: 'f', version: 1, digest: 'd', index: 7 };
  const consensus = {
    state: {
      id: 'a',
      term: 1,
      role: 'leader',
      members,
      get progress() {
        return Object.fromEntries(Object.entries(matches).map(([id, match]) => [id, { match }]));
      },
    },
    control: { index: 7, fleets: {}, config: { index: 7, entries: {} } },
    readIndex: async () => 6,
    propose: async () => reply,
  };
  return new DaemonControlService({
    consensus: consensus as unknown as DaemonConsensus,
    log: pino({ level: 'silent' }),
    now: () => performance.now(),
    heardAt: () => undefined,
    lossesBorne: 2,
    recordOf: () => undefined,
  });
}

/** A leader that restarted 1 s ago, of four voters; b last heard from c `ms` ago, d has never heard from it. */
async function votersAfterRestart(ms: number): Promise<readonly string[]> {
  const now = 10_000;
  const elected = { next: 8, match: 7, heardAt: now - 800, round: 0, inFlight: null };
  const reportOf = (at: number, heard: boolean) => ({
    ...elected,
    hasReplied: true,
    contacts: { c: { at, heard, asOf: now } },
  });
  const progress = { b: reportOf(now - ms, true), c: elected, d: reportOf(now - 2_000, false) };
  const members: ConsensusMembers = { voters: ['a', 'b', 'c', 'd'], learners: [] };
  let changed = members;
  const consensus = {
    state: { id: 'a', term: 2, role: 'leader', commit: 7, members, progress },
    changeMembers: async (to: ConsensusMembers) => {
      changed = to;
    },
  };
  const service = new DaemonControlService({
    consensus: consensus as unknown as DaemonConsensus,
    log: pino({ level: 'silent' }),
    now: () => now,
    heardAt: () => ({ at: now - 1_000, heard: false }),
    lossesBorne: 1,
    recordOf: () => undefined,
  });
  await service.updateVoters();
  return changed.voters;
}

const DOCUMENT = { fleet: 'f', version: 1, digest: 'd', entries: {} };

describe('DaemonControlService', () => {
  // Guards against the loss of an accepted change with two disks while the founders are the only voters.
  it('accepts a document only once one more disk holds it than may be lost', async () => {
    const matches = { b: 7, c: 3 };
    assert.equal((await openFoundingService(matches).replace(DOCUMENT)).result, 'unavailable');
    const second = openFoundingService(matches).replace(DOCUMENT);
    matches.c = 7;
    assert.equal((await second).result, 'accepted');
  });

  // Guards against a lost host that keeps its vote because the leader's process has restarted since.
  it('drops a voter by what the other replicas report, and keeps it while one hears it', async () => {
    assert.deepEqual(await votersAfterRestart(5_000), ['a', 'b', 'd']);
    assert.deepEqual(await votersAfterRestart(100), ['a', 'b', 'c', 'd']);
  });

  // Guards against a group that has no coordinator until the lease of a killed one runs out.
  it('grants a lease at once when its holder has exited', async () => {
    const ended: MemberRecord = { ...RECORD, status: 'gone', ended: true };
    assert.equal(await requestAsRival(ended, true), 'granted');
    assert.equal(await requestAsRival({ ...RECORD, incarnation: 40 }, true), 'granted');
  });

  it('waits until a lease runs out when its holder is only unreachable', async () => {
    assert.equal(await requestAsRival({ ...RECORD, status: 'gone' }, false), 'held');
    assert.equal(await requestAsRival(RECORD, true), 'held');
  });
});
