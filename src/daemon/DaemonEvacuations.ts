/**
 * Orders to begin or finish the evacuation of a zone. Any control process takes them and passes them to the leader,
 * which commits them to the log.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Logger } from 'pino';
import { isEvacuated, mayHaveChangedSince } from '../state/index.js';
import type { DaemonConsensus } from './DaemonConsensus.js';
import { TOO_FEW_DISKS, waitForHolders } from './DaemonHolders.js';
import type { SuspensionWatch } from './DaemonSuspension.js';

/** How many times an order is based on the newest configuration and proposed when others for the zone race with it. */
const ORDER_ATTEMPTS = 4;

/**
 * Time after which an order that isn't decided is answered as unavailable, ms. A leader that is cut off meanwhile answers
 * nothing for 3 s, and a client has 5 s to have its order accepted by another process.
 */
const ORDER_TIMEOUT_MS = 1_500;

const UNDECIDED: EvacuationReply = {
  result: 'unavailable',
  reason: 'not decided in time; send it again',
};

/** An order of an operator. */
export interface EvacuationOrder {
  readonly zone: string;
  /** Whether the evacuation begins; otherwise it finishes. */
  readonly evacuated: boolean;
}

/** An order to the leader, with the index of the configuration that it is based on. */
export interface EvacuationRequest extends EvacuationOrder {
  readonly base: number;
}

/** Result of an order. `accepted` means that the zone is as ordered since the log entry `index` at the latest. */
export type EvacuationReply =
  | {
      readonly result: 'accepted';
      readonly zone: string;
      readonly evacuated: boolean;
      readonly index: number;
    }
  | { readonly result: 'unavailable'; readonly reason: string };

/** Reply of the leader; with `stale`, the zone may have changed since the order was based on it. */
export type EvacuationLeaderReply = EvacuationReply | { readonly result: 'stale' };

/** Dependencies of {@link DaemonEvacuations}. */
export interface EvacuationsOptions {
  readonly consensus: Pick<DaemonConsensus, 'state' | 'control' | 'readIndex' | 'propose'>;
  readonly log: Logger;
  readonly now: () => number;
  readonly lossesBorne: number;
  readonly suspension: Pick<SuspensionWatch, 'isRecent'>;
  /** Reads the index of the newest configuration. Rejects if no leader confirms it. */
  readonly readNewest: () => Promise<number>;
  /** Calls {@link DaemonEvacuations.decide} at the leader. Rejects if it is unreachable. */
  readonly callLeader: (request: EvacuationRequest) => Promise<EvacuationLeaderReply>;
}

/** Evacuation orders at one control process. */
export class DaemonEvacuations {
  readonly #options: EvacuationsOptions;

  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /**
   * Carries out an order that was just read from a client.
   *
   * A client that gets no answer resends its order to another process, and later revokes it there. An order that lay
   * in the socket of a suspended process meanwhile would undo that, so none is carried out right after a suspension.
   */
  async order(order: EvacuationOrder): Promise<EvacuationReply> {
    const answered = new AbortController();
    const reply = await Promise.race([
      this.#attempt(order, ORDER_ATTEMPTS, answered.signal),
      delay(ORDER_TIMEOUT_MS, UNDECIDED, { signal: answered.signal }),
    ]).catch((err: unknown): EvacuationReply => ({
      result: 'unavailable',
      reason: (err as Error).message,
    }));
    answered.abort();
    this.#log(order, reply, 'order');
    return reply;
  }

  /** Nothing is based on a configuration that was read after the order was answered: it may follow a later order. */
  async #attempt(
    order: EvacuationOrder,
    attemptsLeft: number,
    answered: AbortSignal,
  ): Promise<EvacuationReply> {
    const { suspension, readNewest, callLeader } = this.#options;
    if (suspension.isRecent) {
      return { result: 'unavailable', reason: 'this process was suspended; send it again' };
    }
    const base = await readNewest();
    if (answered.aborted) {
      return UNDECIDED;
    }
    const reply = await callLeader({ ...order, base });
    if (reply.result !== 'stale') {
      return reply;
    }
    return attemptsLeft > 1
      ? this.#attempt(order, attemptsLeft - 1, answered)
      : { result: 'unavailable', reason: 'other orders for the zone were faster; send it again' };
  }

  /**
   * Commits an order, as the leader. It is accepted once as many disks hold it as a configuration needs; for a zone that
   * is as ordered already, once they hold the change that made it so.
   */
  async decide(request: EvacuationRequest): Promise<EvacuationLeaderReply> {
    const { zone, evacuated, base } = request;
    const reply = await this.#commit(request);
    if (reply === 'stale') {
      return { result: 'stale' };
    }
    const isHeld = reply !== null && (await waitForHolders(this.#options, reply));
    const unavailable: EvacuationReply =
      reply === null ? UNDECIDED : { result: 'unavailable', reason: TOO_FEW_DISKS };
    const result: EvacuationReply =
      reply !== null && isHeld
        ? { result: 'accepted', zone, evacuated, index: reply }
        : unavailable;
    this.#log(request, result, 'decision', reply === base);
    return result;
  }

  /** Index of the log entry that has to be durable; null if the outcome is unknown. */
  async #commit({ zone, evacuated, base }: EvacuationRequest): Promise<number | 'stale' | null> {
    const { consensus } = this.#options;
    // Confirms that this replica leads and has applied everything accepted before.
    if ((await consensus.readIndex()) === null) {
      return null;
    }
    const { control } = consensus;
    if (mayHaveChangedSince(control, zone, base)) {
      return 'stale';
    }
    if (isEvacuated(control.config.entries, zone) === evacuated) {
      return base;
    }
    const result = await consensus.propose({ kind: 'evacuate', zone, evacuated, base });
    if (result?.result === 'stale') {
      return 'stale';
    }
    return result?.result === 'evacuated' ? result.index : null;
  }

  #log(
    { zone, evacuated }: EvacuationOrder,
    reply: EvacuationReply,
    at: 'order' | 'decision',
    unchanged?: boolean,
  ): void {
    const order = evacuated ? 'begin' : 'finish';
    const { result, ...details } = { index: null, reason: null, ...reply };
    const { index, reason } = details;
    this.#options.log.info(
      { event: 'evacuation', at, zone, order, result, index, reason, unchanged },
      'evacuation of a zone',
    );
  }
}
