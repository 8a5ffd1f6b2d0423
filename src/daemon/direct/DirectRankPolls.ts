/** Polls the ranks of a group for reports, counts of expert choices, and the experts that they hold. */
import { addIncrements, type ExpertCounts } from '../../coordination/index.js';
import type { GroupMap, RankReport } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import type { GroupForecast } from './DirectRank.js';
import type { DirectRankPeers } from './DirectRankPeers.js';

/** Interval of reading counts, ms: a few hundred thousand expert choices at the usual rate. */
export const COUNTS_INTERVAL_MS = 250;

/** Counts that take longer than this to arrive are used in the next round, ms. */
const ROUND_TIMEOUT_MS = 80;

/** Interval of reading reports while a map change is in progress, ms. */
const REPORT_INTERVAL_MS = 60;

/** Options of the polls. */
export interface RankPollsOptions {
  readonly ranks: number;
  readonly own: number;
  readonly peers: DirectRankPeers;
  readonly runtime: Runtime;
  /** Token under which the ranks are polled. */
  readonly token: () => number;
  /** Ranks whose counts are read: all of a small group, some of a large one. */
  readonly ranksToCount: () => ReadonlySet<number>;
  /** Whether the map in use is unknown, so that the ranks are asked for their experts. */
  readonly needsMap: () => boolean;
  /** Whether a map change waits for the report of a rank. */
  readonly awaitsReport: (rank: number) => boolean;
  /** Forecast to send to a rank with a round of counts; null for none. */
  readonly forecastFor: (rank: number) => GroupForecast | null;
  /** Called with a report and when it was asked for, ms. */
  readonly onReport: (rank: number, report: RankReport, askedAt: number) => void;
  /** Called with the map in use once all ranks have stated their experts. */
  readonly onMap: (map: GroupMap) => void;
  /** Called once all ranks have answered in a round or the rest are late; null for a rank without new counts. */
  readonly onRound: (counts: readonly (ExpertCounts | null)[]) => void;
}

/** Polls of a coordinator. */
export class DirectRankPolls {
  readonly #options: RankPollsOptions;

  readonly #requestedAt: (number | null)[];

  /** Expert choices counted by each rank since this process started; null before the first counts. */
  readonly #counts: (ExpertCounts | null)[];

  /** Ranks that have answered with counts in this round. */
  readonly #countedInRound = new Set<number>();

  /** Ranks whose counts are outstanding in this round. */
  #awaitedInRound = new Set<number>();

  #countsAt = 0;

  readonly #experts = new Map<
    number,
    { readonly epoch: number; readonly experts: readonly (readonly number[])[] }
  >();

  constructor(options: RankPollsOptions) {
    this.#options = options;
    this.#requestedAt = Array.from({ length: options.ranks }, () => null);
    this.#counts = Array.from({ length: options.ranks }, () => null);
  }

  /** When the last round began, ms. */
  get countsAt(): number {
    return this.#countsAt;
  }

  /** Sends the requests that are due. */
  tick(): void {
    const { awaitsReport, needsMap, ranksToCount, runtime } = this.#options;
    const now = runtime.now();
    const areCountsDue = now - this.#countsAt >= COUNTS_INTERVAL_MS;
    if (areCountsDue) {
      this.#countsAt = now;
      this.#countedInRound.clear();
      this.#awaitedInRound = new Set(ranksToCount());
    } else if (this.#awaitedInRound.size > 0 && now - this.#countsAt >= ROUND_TIMEOUT_MS) {
      this.#endRound();
    }
    this.#requestedAt.forEach((requestedAt, rank) => {
      const awaitsRank = needsMap() || awaitsReport(rank);
      const isReportDue =
        awaitsRank && requestedAt !== null && now - requestedAt >= REPORT_INTERVAL_MS;
      if (areCountsDue || isReportDue || requestedAt === null) {
        this.#ask(rank, areCountsDue, now);
      }
    });
  }

  /** Drops the experts stated so far, as the map in use is to be read again. */
  forgetExperts(): void {
    this.#experts.clear();
  }

  #ask(rank: number, isRound: boolean, now: number): void {
    const { forecastFor, needsMap, onReport, peers, runtime } = this.#options;
    const token = this.#options.token();
    const withCounts = isRound && this.#awaitedInRound.has(rank);
    const outlook = isRound ? forecastFor(rank) : null;
    this.#requestedAt[rank] = now;
    peers
      .ask(rank, { token, withCounts, withExperts: needsMap(), outlook })
      .then((reply) => {
        if (reply.fenced || token !== this.#options.token()) {
          return;
        }
        if (reply.counts !== null) {
          this.#counts[rank] = addIncrements(this.#counts[rank] ?? null, reply.counts);
          this.#countedInRound.add(rank);
        }
        if (reply.experts !== null) {
          this.#onExperts(rank, reply.report.epoch, reply.experts);
        }
        onReport(rank, reply.report, now);
        if (withCounts && this.#awaitedInRound.delete(rank) && this.#awaitedInRound.size === 0) {
          this.#endRound();
        }
      })
      .catch((err: unknown) => {
        runtime.log.debug({ rank, err: (err as Error).message }, 'no report from a rank');
      });
  }

  /** Assembles the map in use from the experts that each rank holds. */
  #onExperts(rank: number, epoch: number, experts: readonly (readonly number[])[]): void {
    const { needsMap, onMap, ranks } = this.#options;
    this.#experts.set(rank, { epoch, experts });
    const known = Array.from({ length: ranks }, (_item, i) => this.#experts.get(i));
    if (!needsMap() || known.some((item) => item?.epoch !== epoch)) {
      return;
    }
    const map = experts.map((_set, s) => known.map((item) => item?.experts[s] ?? []));
    this.#experts.clear();
    onMap(map);
  }

  #endRound(): void {
    this.#awaitedInRound.clear();
    this.#options.onRound(
      this.#counts.map((item, rank) => (this.#countedInRound.has(rank) ? item : null)),
    );
  }
}
