/** The departure of a control process that stops in order. */
import { setTimeout as delay } from 'node:timers/promises';
import type { LeaveOutcome } from '../coordination/index.js';
import type { DaemonControlService } from './DaemonControlService.js';
import { callLeader, type LeaderAccess } from './DaemonLeaderCalls.js';

/**
 * How long a process that stops waits for the outcome of its leaving, ms: an election and a commit. Without a leader by
 * then, the others find out that it is unreachable.
 */
const LEAVE_TIMEOUT_MS = 2_000;

/** How often it asks, ms. */
const LEAVE_POLL_MS = 50;

/** What leaving needs of a control process. */
export interface LeaveAccess extends LeaderAccess {
  readonly service: Pick<DaemonControlService, 'leave'>;
}

async function askToLeave(access: LeaveAccess, replica: string): Promise<LeaveOutcome> {
  const { runtime, service } = access;
  return callLeader(access, 'leader.leave', { replica }, async () => service.leave(replica)).catch(
    (err: unknown): LeaveOutcome => {
      runtime.log.debug({ err: (err as Error).message }, 'the leader gave no outcome of leaving');
      return 'pending';
    },
  );
}

/**
 * Announces to the leader that this replica's process is about to stop, and waits until its vote is removed or kept.
 *
 * A host may be replaced by one that is a voter already. Until the host that stops has no vote, it counts towards the
 * quorum, and with one more disk lost no quorum would be left: nothing could be committed or read any more.
 */
export async function leaveCluster(access: LeaveAccess): Promise<void> {
  const { consensus, runtime } = access;
  const replica = consensus.state.id;
  if (!consensus.state.members.voters.includes(replica)) {
    return;
  }
  const startedAt = runtime.now();
  const timeout = delay(LEAVE_TIMEOUT_MS, 'pending' as const);
  let outcome: LeaveOutcome = 'pending';
  while (outcome === 'pending' && runtime.now() - startedAt < LEAVE_TIMEOUT_MS) {
    // eslint-disable-next-line no-await-in-loop
    outcome = await Promise.race([askToLeave(access, replica), timeout]);
    if (outcome === 'pending') {
      // eslint-disable-next-line no-await-in-loop
      await delay(LEAVE_POLL_MS);
    }
  }
  const ms = Math.round(runtime.now() - startedAt);
  runtime.log.info({ event: 'leave', replica, outcome, ms }, 'replica stops');
}
