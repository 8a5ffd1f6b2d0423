/** What a control process does for others by way of the log: submissions, leases, joins. */
import type { Logger } from 'pino';
import {
  countRenewals,
  initLeaseKeeper,
  isOutOfTouch,
  mayGrant,
  renewLease,
  type LeaseKeeperState,
} from '../coordination/index.js';
import type { ConfigEntries, LeaseGrant, Manifest, SubmitReply } from '../protocol/index.js';
import {
  diffEntries,
  digestManifest,
  entriesOfFleet,
  flattenManifest,
  judgeSubmission,
  type LeaseCommand,
  type LeaseState,
} from '../state/index.js';
import type { DaemonConsensus } from './DaemonConsensus.js';

/** Submissions that race are worked out anew this often before the caller is asked to resend. */
const SUBMIT_TRIES = 4;

/** A voter that the leader hasn't heard for this long may be replaced by a newcomer, ms. */
const SILENT_VOTER_MS = 5_000;

/** A replica's name: its id without the part that a new data folder changes. */
export function replicaName(replica: string): string {
  return replica.split('.')[0] ?? replica;
}

/** A question about a lease. `observe` only asks who holds it. */
export interface LeaseAsk {
  readonly group: string;
  readonly holder: string;
  readonly durationMs: number;
  readonly after: LeaseCommand['after'];
  readonly observe: boolean;
}

/** Answer to a {@link LeaseAsk}. */
export type LeaseReply =
  | { readonly result: 'granted'; readonly lease: LeaseGrant; readonly renewals: number }
  | { readonly result: 'held'; readonly lease: LeaseState }
  | { readonly result: 'failed' };

/** A document that replaces a fleet's configuration, if its version is the highest. */
export interface ReplaceAsk {
  readonly fleet: string;
  readonly version: number;
  readonly digest: string;
  readonly entries: ConfigEntries;
}

/** Services that only the leader gives. */
export class DaemonControlService {
  readonly #consensus: DaemonConsensus;

  readonly #log: Logger;

  readonly #now: () => number;

  #keeper: LeaseKeeperState = initLeaseKeeper(0);

  #keptInTerm = 0;

  constructor(consensus: DaemonConsensus, log: Logger, now: () => number) {
    this.#consensus = consensus;
    this.#log = log;
    this.#now = now;
  }

  /** Accepts a manifest, or says why not. `accepted` is said only once a quorum has committed. */
  async submit(manifest: Manifest): Promise<SubmitReply> {
    const { fleet, version } = manifest;
    const digest = digestManifest(manifest);
    const entries = flattenManifest(manifest);
    const attempt = async (triesLeft: number): Promise<SubmitReply> => {
      // Confirms that this replica leads and has applied all that was accepted before.
      if ((await this.#consensus.readIndex()) === null) {
        return { result: 'unavailable', reason: 'no leader with a quorum' };
      }
      const { control } = this.#consensus;
      const judged = judgeSubmission(control, fleet, version, digest);
      if (judged !== 'new') {
        return judged;
      }
      const result = await this.#consensus.propose({
        kind: 'submit',
        fleet,
        version,
        digest,
        base: control.fleets[fleet]?.version ?? 0,
        ...diffEntries(entriesOfFleet(control.config.entries, fleet), entries),
      });
      if (result?.result === 'stale' && triesLeft > 1) {
        return attempt(triesLeft - 1);
      }
      return result === null || !('fleet' in result)
        ? {
            result: 'unavailable',
            reason: 'not decided in time; submit again to learn the outcome',
          }
        : result;
    };
    const reply = await attempt(SUBMIT_TRIES);
    this.#log.info({ event: 'submit', fleet, version, digest, result: reply.result }, 'submission');
    return reply;
  }

  /**
   * Replaces a fleet's configuration. Accepted means that this document or one of a higher version is
   * committed: a version that isn't higher is accepted and changes nothing.
   */
  async replace(ask: ReplaceAsk): Promise<SubmitReply> {
    const { fleet, version, digest } = ask;
    // Confirms that this replica leads and has applied all that was accepted before.
    if ((await this.#consensus.readIndex()) === null) {
      return { result: 'unavailable', reason: 'no leader with a quorum' };
    }
    const { index, fleets } = this.#consensus.control;
    const held = fleets[fleet]?.version;
    if (held !== undefined && held >= version) {
      this.#log.info({ event: 'replace', fleet, version, held, result: 'held' }, 'document');
      return { result: 'accepted', fleet, version, digest, index };
    }
    const result = await this.#consensus.propose({ kind: 'replace', ...ask });
    const reply: SubmitReply =
      result !== null && result.result === 'accepted'
        ? result
        : { result: 'unavailable', reason: 'not decided in time; submit again' };
    this.#log.info({ event: 'replace', fleet, version, held, result: reply.result }, 'document');
    return reply;
  }

  /** Grants or renews a lease, or says who holds it. */
  async askLease(ask: LeaseAsk): Promise<LeaseReply> {
    const { group, holder } = ask;
    const held = this.#consensus.control.leases[group];
    // A leader that was frozen may have been replaced without knowing: it vouches for nothing.
    if (isOutOfTouch(this.#consensus.state, this.#now())) {
      return { result: 'failed' };
    }
    const keeper = this.#keepLeases();
    if (held?.holder === holder && held.token === ask.after.token) {
      this.#keeper = renewLease(keeper, group, held.token, this.#now());
      return this.#granted(ask, held.token);
    }
    if (held !== undefined && (ask.observe || !mayGrant(keeper, group, held, this.#now()))) {
      const renewals = countRenewals(keeper, group, held.token);
      return { result: 'held', lease: { ...held, renewals } };
    }
    return this.#grant(ask, held);
  }

  /** What is remembered of renewals, from the own election on. */
  #keepLeases(): LeaseKeeperState {
    const { term } = this.#consensus.state;
    if (term !== this.#keptInTerm) {
      this.#keptInTerm = term;
      this.#keeper = initLeaseKeeper(this.#now());
    }
    return this.#keeper;
  }

  #granted({ group, holder, durationMs }: LeaseAsk, token: number): LeaseReply {
    const renewals = countRenewals(this.#keeper, group, token);
    return { result: 'granted', lease: { group, holder, token, durationMs }, renewals };
  }

  async #grant(ask: LeaseAsk, held: LeaseState | undefined): Promise<LeaseReply> {
    const { group, holder, durationMs } = ask;
    const result = await this.#consensus.propose({
      kind: 'lease',
      group,
      holder,
      durationMs,
      after: { token: held?.token ?? 0 },
    });
    if (result?.result === 'granted') {
      const { token } = result.lease;
      this.#keeper = renewLease(this.#keepLeases(), group, token, this.#now());
      this.#log.info({ event: 'lease', group, holder, token }, 'lease granted');
      return this.#granted(ask, token);
    }
    return result?.result === 'held' ? result : { result: 'failed' };
  }

  /** Takes a replica in as a learner; it is promoted by {@link tendMembers}. */
  async join(replica: string): Promise<boolean> {
    const { members } = this.#consensus.state;
    if (members.voters.includes(replica) || members.learners.includes(replica)) {
      return true;
    }
    const name = replicaName(replica);
    const learners = members.learners.filter((id) => replicaName(id) !== name);
    const result = await this.#consensus.changeMembers({
      voters: members.voters,
      learners: [...learners, replica],
    });
    this.#log.info({ event: 'join', replica, taken: result !== null }, 'replica joins');
    return result !== null;
  }

  #isSilent(id: string): boolean {
    const { state } = this.#consensus;
    const heardAt = state.progress[id]?.heardAt;
    return id !== state.id && heardAt !== undefined && this.#now() - heardAt > SILENT_VOTER_MS;
  }

  /**
   * Promotes learners that have caught up, then drops the voters whose place they took.
   *
   * Failure: a replica loses its data folder. Symptom: as an empty voter it could vote twice in a
   * term, or count as holding what it forgot. Enough: it returns under a new identity without a
   * vote, gets one only with the whole log, and voters change one at a time. A voter that is silent
   * gives way to a newcomer that is ready: else a host replaced for good would count in each quorum.
   */
  async tendMembers(): Promise<void> {
    const { state } = this.#consensus;
    if (state.role !== 'leader') {
      return;
    }
    const { voters, learners } = state.members;
    const newest = voters.filter((id, i) =>
      voters.slice(i + 1).every((other) => replicaName(other) !== replicaName(id)),
    );
    if (newest.length < voters.length) {
      const dropped = voters.find((id) => !newest.includes(id));
      const kept = voters.filter((id) => id !== dropped);
      await this.#consensus.changeMembers({ voters: kept, learners });
      this.#log.info({ event: 'voter', dropped }, 'voter dropped');
      return;
    }
    const ready = learners.find((id) => (state.progress[id]?.match ?? 0) >= state.commit);
    const silent = voters.find((id) => this.#isSilent(id));
    if (ready !== undefined && silent !== undefined && voters.length > 1) {
      const kept = voters.filter((id) => id !== silent);
      await this.#consensus.changeMembers({ voters: kept, learners });
      this.#log.info({ event: 'voter', dropped: silent, for: ready }, 'silent voter dropped');
      return;
    }
    if (ready !== undefined && state.commit > 0) {
      await this.#consensus.changeMembers({
        voters: [...voters, ready],
        learners: learners.filter((id) => id !== ready),
      });
      this.#log.info({ event: 'voter', promoted: ready }, 'learner promoted');
    }
  }
}
