/**
 * Departures of endpoints that announce themselves by heartbeats. Any control process takes them and passes them to the
 * leader, which commits them to the log: an acknowledged departure outlives restarts of all control processes, and a
 * heartbeat that arrives late doesn't bring the endpoint back. Many endpoints may leave in the same second, so departures
 * are passed on and committed in batches.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Logger } from 'pino';
import {
  expiredDepartures,
  updateDepartureAges,
  type DepartureAges,
} from '../coordination/index.js';
import type { MemberRecord } from '../protocol/index.js';
import { findDeparture, isNewerRecord } from '../state/index.js';
import { DaemonBatcher } from './DaemonBatcher.js';
import type { DaemonConsensus } from './DaemonConsensus.js';
import { TOO_FEW_DISKS, waitForHolders } from './DaemonHolders.js';
import type { DaemonHub } from './DaemonHub.js';

/**
 * Time after which a departure that isn't decided is answered as unavailable, ms: an endpoint calls another control
 * process after a second without an answer.
 */
const DEPARTURE_TIMEOUT_MS = 800;

/** Maximum number of departures in a batch, so that an entry of the log stays below some 64 KB. */
const MAX_BATCH = 256;

/** How often the ages of the departures are checked, ms. */
const CHECK_INTERVAL_MS = 10_000;

const UNDECIDED: DepartureReply = {
  result: 'unavailable',
  reason: 'not decided in time; send it again',
};

/** A departure, as a control process passes it to the leader. */
export interface DepartureRequest {
  readonly record: MemberRecord;
  /** Whether this incarnation of the endpoint was known to be leaving before. */
  readonly wasLeaving: boolean;
}

/** Result of a departure. `accepted` means that the log entry with this index and those before it are durable. */
export type DepartureReply =
  | { readonly result: 'accepted'; readonly index: number }
  | { readonly result: 'unavailable'; readonly reason: string };

/** Dependencies of {@link DaemonDepartures}. */
export interface DeparturesOptions {
  readonly consensus: Pick<DaemonConsensus, 'state' | 'control' | 'readIndex' | 'propose'>;
  readonly hub: Pick<DaemonHub, 'membership' | 'onHeartbeat' | 'onDeparture'>;
  readonly log: Logger;
  readonly now: () => number;
  readonly lossesBorne: number;
  /** Calls {@link DaemonDepartures.decide} at the leader. Rejects if it is unreachable. */
  readonly callLeader: (requests: readonly DepartureRequest[]) => Promise<DepartureReply>;
}

/** The reply to a departure, or that it isn't decided yet after {@link DEPARTURE_TIMEOUT_MS}. */
async function inTime(reply: Promise<DepartureReply>): Promise<DepartureReply> {
  const answered = new AbortController();
  try {
    return await Promise.race([
      reply,
      delay(DEPARTURE_TIMEOUT_MS, UNDECIDED, { signal: answered.signal }),
    ]);
  } catch (err) {
    return { result: 'unavailable', reason: (err as Error).message };
  } finally {
    answered.abort();
  }
}

/** Departures at one control process. */
export class DaemonDepartures {
  readonly #options: DeparturesOptions;

  readonly #batcher: DaemonBatcher<DepartureRequest, DepartureReply>;

  #ages: DepartureAges = new Map();

  #checkedAt = -Infinity;

  constructor(options: DeparturesOptions) {
    this.#options = options;
    this.#batcher = new DaemonBatcher(async (requests) => this.#pass(requests), MAX_BATCH);
  }

  /**
   * Handles the record of an endpoint that is leaving or gone. It takes effect here at once, also where no leader can
   * make it durable, as in a zone that is cut off; the endpoint then has to announce it again.
   */
  async depart(record: MemberRecord): Promise<DepartureReply> {
    const { hub } = this.#options;
    const known = hub.membership.directory.get(record.id);
    const wasLeaving = known?.incarnation === record.incarnation && known.status === 'leaving';
    if (record.status === 'leaving') {
      hub.onHeartbeat(record);
    } else {
      hub.onDeparture(record);
    }
    const reply = await inTime(this.#batcher.add({ record, wasLeaving }));
    if (!wasLeaving || record.status === 'gone' || reply.result === 'unavailable') {
      this.#log(record, reply);
    }
    return reply;
  }

  /** Commits departures, as the leader; they are accepted once as many disks hold them as a configuration needs. */
  async decide(requests: readonly DepartureRequest[]): Promise<DepartureReply> {
    const { consensus } = this.#options;
    const records = requests
      .filter((request) => !this.#isHeld(request))
      .map(({ record }) => record);
    if (records.length === 0) {
      // Confirms that this replica leads and has applied everything accepted before.
      return (await consensus.readIndex()) === null
        ? UNDECIDED
        : this.#onceHeld(consensus.control.index);
    }
    const result = await consensus.propose({ kind: 'depart', records });
    if (result?.result === 'full') {
      return { result: 'unavailable', reason: 'too many endpoints have departed recently' };
    }
    return result?.result === 'departed' ? this.#onceHeld(result.index) : UNDECIDED;
  }

  /**
   * Drops departures from the log after which no late message can arrive any more, as the leader. To be called more
   * often than the ages are checked.
   */
  async dropExpired(): Promise<void> {
    const { consensus, log } = this.#options;
    const now = this.#options.now();
    if (now - this.#checkedAt < CHECK_INTERVAL_MS) {
      return;
    }
    this.#checkedAt = now;
    this.#ages = updateDepartureAges(this.#ages, consensus.control.departures, now);
    const departures = expiredDepartures(this.#ages, now);
    if (consensus.state.role !== 'leader' || departures.length === 0) {
      return;
    }
    const result = await consensus.propose({ kind: 'forgetDepartures', departures });
    log.info(
      { event: 'departures', dropped: departures.length, committed: result !== null },
      'old departures dropped',
    );
  }

  /** Passes a batch to the leader; the next one doesn't wait for a leader that is frozen. */
  async #pass(requests: readonly DepartureRequest[]): Promise<DepartureReply> {
    return inTime(this.#options.callLeader(requests));
  }

  /** Whether the log holds this departure, or an earlier one of an endpoint that has been leaving since. */
  #isHeld({ record, wasLeaving }: DepartureRequest): boolean {
    const held = findDeparture(this.#options.consensus.control.departures, record.id);
    const isStillLeaving =
      wasLeaving &&
      record.status === 'leaving' &&
      held?.status === 'leaving' &&
      held.incarnation === record.incarnation;
    return isStillLeaving || !isNewerRecord(record, held);
  }

  async #onceHeld(index: number): Promise<DepartureReply> {
    return (await waitForHolders(this.#options, index))
      ? { result: 'accepted', index }
      : { result: 'unavailable', reason: TOO_FEW_DISKS };
  }

  #log({ id, incarnation, status }: MemberRecord, reply: DepartureReply): void {
    const { result, index, reason } = { index: null, reason: null, ...reply };
    this.#options.log.info(
      { event: 'departure', member: id, incarnation, status, result, index, reason },
      'departure of an endpoint',
    );
  }
}
