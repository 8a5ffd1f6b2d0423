/** Calls of a control process to the leader, which may be its own replica. */
import { setTimeout as delay } from 'node:timers/promises';
import { replicaName } from '../coordination/index.js';
import type { DaemonConsensus } from './DaemonConsensus.js';
import type { DaemonControlPeers } from './DaemonControlPeers.js';
import type { Runtime } from './DaemonRuntime.js';

/**
 * Timeout for a read of the newest index, ms: about a hundred round trips between AZs. If a read takes longer, the
 * leader counts as unreachable, and the caller should ask another control process.
 */
const READ_TIMEOUT_MS = 800;

/** How often a replica that is behind, or knows no leader, checks again, ms. */
const CATCH_UP_POLL_MS = 20;

/** How long a read waits for a leader to be known, ms: long enough for an election among running hosts. */
const LEADER_WAIT_MS = 400;

/** A read of the newest index that takes longer than this is logged, ms. */
const SLOW_READ_MS = 300;

/** What these calls need of a control process. */
export interface LeaderAccess {
  readonly runtime: Pick<Runtime, 'now' | 'log'>;
  readonly peers: Pick<DaemonControlPeers, 'request'>;
  readonly consensus: Pick<DaemonConsensus, 'state' | 'control' | 'readIndex'>;
}

/** Calls a method at the leader, which may be this replica. Rejects if no leader is known or it is unreachable. */
export async function callLeader<T>(
  { consensus, peers }: LeaderAccess,
  method: string,
  params: unknown,
  local: () => Promise<T>,
): Promise<T> {
  const { role, leader } = consensus.state;
  if (role === 'leader') {
    return local();
  }
  if (leader === null) {
    throw new Error('no leader');
  }
  return (await peers.request(replicaName(leader), method, params)) as T;
}

/**
 * Reads the newest log index from the leader, once a leader is known; rejects if none is known by `waitUntil`, ms on
 * the local monotonic clock.
 */
async function readIndexAtLeader(access: LeaderAccess, waitUntil: number): Promise<number | null> {
  const { consensus, runtime } = access;
  const hasLeader = (): boolean =>
    consensus.state.role === 'leader' || consensus.state.leader !== null;
  while (!hasLeader() && runtime.now() < waitUntil) {
    // eslint-disable-next-line no-await-in-loop
    await delay(CATCH_UP_POLL_MS);
  }
  return callLeader<number | null>(access, 'leader.readIndex', {}, async () =>
    consensus.readIndex(),
  );
}

/**
 * Resolves with the index of the newest configuration once this replica has applied everything that was accepted
 * before. Rejects if no leader confirms that index, or this replica doesn't catch up in time.
 */
async function newestIndex(access: LeaderAccess): Promise<number> {
  const { consensus, runtime } = access;
  const until = runtime.now() + READ_TIMEOUT_MS;
  const index = await Promise.race([
    readIndexAtLeader(access, runtime.now() + LEADER_WAIT_MS),
    delay(READ_TIMEOUT_MS, null, { ref: false }),
  ]);
  if (index === null) {
    throw new Error('no leader with a quorum answered');
  }
  while (consensus.control.index < index) {
    if (runtime.now() > until) {
      throw new Error('this replica is behind');
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(CATCH_UP_POLL_MS);
  }
  return consensus.control.config.index;
}

/** Reads the newest index like {@link newestIndex}; logs the read if it fails or is slow. */
export async function loggedNewestIndex(access: LeaderAccess): Promise<number> {
  const { consensus, runtime } = access;
  const startedAt = runtime.now();
  const write = (result: string): void => {
    const ms = Math.round(runtime.now() - startedAt);
    const { role, leader, term } = consensus.state;
    const { index } = consensus.control;
    runtime.log.info({ event: 'read', result, ms, role, leader, term, index }, 'read of the log');
  };
  try {
    const index = await newestIndex(access);
    if (runtime.now() - startedAt > SLOW_READ_MS) {
      write('slow');
    }
    return index;
  } catch (err) {
    write((err as Error).message);
    throw err;
  }
}
