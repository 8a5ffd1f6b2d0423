/** Services that a control process provides through the log: submissions, leases and joins. */
import type { Logger } from 'pino';
import {
  countRenewals,
  hasHolderTerminated,
  votersWithEntry,
  initLeaseRenewals,
  hasLostQuorum,
  leaveOutcome,
  mayGrant,
  nextVoterChange,
  recordRenewal,
  replicaName,
  silenceByVoter,
  type LeaveOutcome,
  type LeaseRenewalsState,
  type VoterView,
} from '../coordination/index.js';
import type {
  ConfigEntries,
  LeaseGrant,
  Manifest,
  MemberRecord,
  SubmitReply,
} from '../protocol/index.js';
import {
  diffEntries,
  digestManifest,
  entriesOfFleet,
  flattenManifest,
  checkSubmission,
  type LeaseCommand,
  type LeaseState,
} from '../state/index.js';
import type { DaemonConsensus } from './DaemonConsensus.js';
import { TOO_FEW_DISKS, waitForHolders } from './DaemonHolders.js';

/**
 * How many times a submission is computed and proposed, when others race with it, before the caller is asked to
 * resend.
 */
const SUBMIT_ATTEMPTS = 4;

/**
 * A request to get or renew a lease. With `observe`, a lease that another process holds is only reported, unless that
 * holder has exited.
 */
export interface LeaseRequest {
  readonly group: string;
  readonly holder: string;
  readonly durationMs: number;
  readonly after: LeaseCommand['after'];
  readonly observe: boolean;
}

/** Reply to a {@link LeaseRequest}. */
export type LeaseReply =
  | { readonly result: 'granted'; readonly lease: LeaseGrant; readonly renewals: number }
  | { readonly result: 'held'; readonly lease: LeaseState }
  | { readonly result: 'failed' };

/** A document that replaces a fleet's configuration if its version is the highest. */
export interface ReplaceRequest {
  readonly fleet: string;
  readonly version: number;
  readonly digest: string;
  readonly entries: ConfigEntries;
}

/** Dependencies of the services. */
export interface ControlServiceOptions {
  readonly consensus: DaemonConsensus;
  readonly log: Logger;
  readonly now: () => number;
  /** See {@link VoterView}. */
  readonly heardAt: VoterView['heardAt'];
  readonly lossesBorne: number;
  /** The newest member record of a process, by its id. */
  readonly recordOf: (id: string) => MemberRecord | undefined;
}

/** Services that only the leader provides. */
export class DaemonControlService {
  readonly #options: ControlServiceOptions;

  readonly #consensus: DaemonConsensus;

  readonly #log: Logger;

  readonly #now: () => number;

  #renewals: LeaseRenewalsState = initLeaseRenewals(0);

  #renewalsTerm = 0;

  /** Whether a change of the voters is in progress. */
  #isChangingVoters = false;

  /** See {@link VoterView}; what was announced to an earlier leader isn't known here. */
  #leaving: ReadonlySet<string> = new Set();

  constructor(options: ControlServiceOptions) {
    this.#options = options;
    this.#consensus = options.consensus;
    this.#log = options.log;
    this.#now = options.now;
  }

  /**
   * Submits a manifest; replies with the reason if it isn't accepted. `accepted` means that a quorum has committed
   * it.
   */
  async submit(manifest: Manifest): Promise<SubmitReply> {
    const { fleet, version } = manifest;
    const digest = digestManifest(manifest);
    const entries = flattenManifest(manifest);
    const attempt = async (attemptsLeft: number): Promise<SubmitReply> => {
      // Confirms that this replica leads and has applied everything accepted before.
      if ((await this.#consensus.readIndex()) === null) {
        return { result: 'unavailable', reason: 'no leader with a quorum' };
      }
      const { control } = this.#consensus;
      const judged = checkSubmission(control, fleet, version, digest);
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
      if (result?.result === 'stale' && attemptsLeft > 1) {
        return attempt(attemptsLeft - 1);
      }
      return result === null || !('fleet' in result)
        ? {
            result: 'unavailable',
            reason: 'not decided in time; submit again to learn the outcome',
          }
        : result;
    };
    const reply = await attempt(SUBMIT_ATTEMPTS);
    this.#log.info({ event: 'submit', fleet, version, digest, result: reply.result }, 'submission');
    return reply;
  }

  /**
   * Replaces a fleet's configuration. `accepted` means that this document or one of at least its version is
   * committed: a version that isn't higher is accepted and changes nothing.
   */
  async replace(request: ReplaceRequest): Promise<SubmitReply> {
    const { fleet, version, digest } = request;
    // Confirms that this replica leads and has applied everything accepted before.
    if ((await this.#consensus.readIndex()) === null) {
      return { result: 'unavailable', reason: 'no leader with a quorum' };
    }
    const { config, fleets } = this.#consensus.control;
    const held = fleets[fleet]?.version;
    if (held !== undefined && held >= version) {
      const { index } = config;
      const reply = await this.#onceHeld({ result: 'accepted', fleet, version, digest, index });
      const outcome = reply.result === 'accepted' ? 'held' : reply.result;
      this.#log.info({ event: 'replace', fleet, version, held, result: outcome }, 'document');
      return reply;
    }
    const result = await this.#consensus.propose({ kind: 'replace', ...request });
    const reply: SubmitReply =
      result !== null && result.result === 'accepted'
        ? await this.#onceHeld(result)
        : { result: 'unavailable', reason: 'not decided in time; submit again' };
    this.#log.info(
      {
        event: 'replace',
        fleet,
        version,
        held,
        result: reply.result,
        ...this.#commitQuorum(reply),
      },
      'document',
    );
    return reply;
  }

  /** Waits until more disks hold an accepted document than may be lost at once. */
  async #onceHeld(
    reply: Extract<SubmitReply, { result: 'accepted' }>,
  ): Promise<Extract<SubmitReply, { result: 'accepted' | 'unavailable' }>> {
    return (await waitForHolders(this.#options, reply.index))
      ? reply
      : { result: 'unavailable', reason: TOO_FEW_DISKS };
  }

  /** For the log: the voters that have synced an accepted entry, and all voters, of which they are a majority. */
  #commitQuorum(reply: SubmitReply): object {
    const { state } = this.#consensus;
    return reply.result === 'accepted'
      ? { holders: votersWithEntry(state, reply.index), voters: state.members.voters }
      : {};
  }

  /** Grants or renews a lease, or replies who holds it. */
  async requestLease(request: LeaseRequest): Promise<LeaseReply> {
    const { group, holder } = request;
    const held = this.#consensus.control.leases[group];
    // A leader that was suspended may have been replaced without knowing it, so it can't tell who holds a lease.
    if (hasLostQuorum(this.#consensus.state, this.#now())) {
      return { result: 'failed' };
    }
    const leaseRenewals = this.#renewalsOfTerm();
    if (held?.holder === holder && held.token === request.after.token) {
      this.#renewals = recordRenewal(leaseRenewals, group, held.token, this.#now());
      return this.#grantedReply(request, held.token);
    }
    const isFree = held === undefined || hasHolderTerminated(held.holder, this.#options.recordOf);
    if (!isFree && (request.observe || !mayGrant(leaseRenewals, group, held, this.#now()))) {
      const renewals = countRenewals(leaseRenewals, group, held.token);
      return { result: 'held', lease: { ...held, renewals } };
    }
    return this.#grant(request, held);
  }

  /** Renewals that this replica has seen as the leader of the current term. */
  #renewalsOfTerm(): LeaseRenewalsState {
    const { term } = this.#consensus.state;
    if (term !== this.#renewalsTerm) {
      this.#renewalsTerm = term;
      this.#renewals = initLeaseRenewals(this.#now());
    }
    return this.#renewals;
  }

  #grantedReply({ group, holder, durationMs }: LeaseRequest, token: number): LeaseReply {
    const renewals = countRenewals(this.#renewals, group, token);
    return { result: 'granted', lease: { group, holder, token, durationMs }, renewals };
  }

  async #grant(request: LeaseRequest, held: LeaseState | undefined): Promise<LeaseReply> {
    const { group, holder, durationMs } = request;
    const result = await this.#consensus.propose({
      kind: 'lease',
      group,
      holder,
      durationMs,
      after: { token: held?.token ?? 0 },
    });
    if (result?.result === 'granted') {
      const { token } = result.lease;
      this.#renewals = recordRenewal(this.#renewalsOfTerm(), group, token, this.#now());
      this.#log.info({ event: 'lease', group, holder, token }, 'lease granted');
      return this.#grantedReply(request, token);
    }
    return result?.result === 'held' ? result : { result: 'failed' };
  }

  /** Admits a replica as a learner, in place of an earlier learner of its host; {@link updateVoters} promotes it. */
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

  /**
   * Removes the vote of a replica whose process is about to stop, where that makes the quorum smaller. The replica asks
   * again while the outcome is pending.
   */
  async leave(replica: string): Promise<LeaveOutcome> {
    const { state } = this.#consensus;
    // A leader that was replaced without knowing it may count other voters than there are now.
    if (state.role !== 'leader' || hasLostQuorum(state, this.#now())) {
      return 'pending';
    }
    this.#leaving = new Set(this.#leaving).add(replica);
    await this.updateVoters();
    return leaveOutcome(this.#consensus.state, replica, this.#voterView());
  }

  /** Called when a host's process has opened a link: its replica isn't leaving any more. */
  onHostUp(name: string): void {
    this.#leaving = new Set([...this.#leaving].filter((id) => replicaName(id) !== name));
  }

  #voterView(): VoterView {
    const { heardAt, lossesBorne } = this.#options;
    return { now: this.#now(), heardAt, leaving: this.#leaving, lossesBorne };
  }

  /** Promotes learners to voters, and drops voters that are gone; see {@link nextVoterChange}. */
  async updateVoters(): Promise<void> {
    const { state } = this.#consensus;
    const view = this.#voterView();
    const change = state.role === 'leader' ? nextVoterChange(state, view) : null;
    if (change === null || this.#isChangingVoters) {
      return;
    }
    const silence =
      change.reason === 'silent' ? { silence: silenceByVoter(state, change.replica, view) } : {};
    this.#isChangingVoters = true;
    const result = await this.#consensus.changeMembers(change.members);
    this.#isChangingVoters = false;
    const { replica, reason } = change;
    const { voters } = change.members;
    this.#log.info(
      { event: 'voters', replica, reason, voters, committed: result !== null, ...silence },
      'voters change',
    );
  }
}
