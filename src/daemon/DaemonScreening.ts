/**
 * Screens the requests of an entry process: finds out under which of them endpoints end, and says which must be sent
 * to none. Asked once before each send, whatever the send is for.
 */
import {
  incarnationKeyOf,
  rememberAnswer,
  wasRecentlyAnswered,
  type LostRequest,
  type RecentAnswers,
} from '../coordination/index.js';
import {
  digestRequest,
  type MemberRecord,
  type QuarantineNews,
  type RequestIdentity,
} from '../protocol/index.js';
import { probeAddress } from '../transport/index.js';
import { DaemonEndpointCrashes } from './DaemonEndpointCrashes.js';
import type { EntryMetrics } from './DaemonEntryMetrics.js';
import { DaemonQuarantine, type SendQuarantineUpdate } from './DaemonQuarantine.js';
import type { Runtime } from './DaemonRuntime.js';

/** What the task needs. */
export interface ScreeningOptions {
  readonly runtime: Runtime;
  readonly metrics: EntryMetrics;
  /** Sends news to the control process; lost while there is no link. */
  readonly send: SendQuarantineUpdate;
}

/** Name under which the control process's news are taken: there is one at a time. */
const HUB = 'hub';

/** The task. */
export class DaemonScreening {
  readonly #options: ScreeningOptions;

  readonly #quarantine: DaemonQuarantine;

  readonly #crashes: DaemonEndpointCrashes;

  readonly #digests = new WeakMap<RequestIdentity, string>();

  #recentAnswers: RecentAnswers = [];

  constructor(options: ScreeningOptions) {
    this.#options = options;
    const { runtime, metrics, send } = options;
    this.#quarantine = new DaemonQuarantine({
      runtime,
      publish: (update, from) => {
        if (from === null) {
          send(update);
        }
      },
    });
    metrics.addSuspects(() => this.#quarantine.suspects.length);
    this.#crashes = new DaemonEndpointCrashes({
      runtime,
      probe: probeAddress,
      crashes: metrics.endpointCrashes,
      onSuspects: (incarnationKey, suspects) =>
        this.#quarantine.recordSuspects(incarnationKey, suspects),
    });
  }

  /** Whether a request must be sent to no endpoint: so many have ended under it. */
  isQuarantined(identity: RequestIdentity, quarantineCrashes: number): boolean {
    return (
      this.#quarantine.hasSuspects(identity.customer) &&
      this.#quarantine.crashCount(this.#digest(identity)) >= quarantineCrashes
    );
  }

  /** Time after which a request that is held may be sent again, ms. */
  quarantinedForMs(identity: RequestIdentity): number {
    return this.#quarantine.quarantinedForMs(this.#digest(identity));
  }

  /** Writes down that a request was not sent since it is held. */
  logQuarantined(identity: RequestIdentity, request: string): void {
    const digest = this.#digest(identity);
    const ends = this.#quarantine.crashCount(digest);
    this.#options.runtime.log.info(
      { event: 'held', request, digest, ends },
      'not sent: endpoints have ended under this request',
    );
  }

  /** Calls once a request in progress is held; the result ends that. */
  registerQuarantineListener(
    identity: RequestIdentity,
    quarantineCrashes: number,
    onQuarantined: () => void,
  ): () => void {
    return this.#quarantine.registerListener(() => {
      if (this.isQuarantined(identity, quarantineCrashes)) {
        onQuarantined();
      }
    });
  }

  /**
   * The connection to an endpoint has ended under a request. Resolves once it is known, as far as it can be, whether
   * the endpoint has. What endpoints have answered whole a short while ago isn't suspected: a call that comes all the
   * time is in progress wherever an endpoint ends.
   */
  async onConnectionLost(
    endpoint: MemberRecord,
    identity: RequestIdentity,
    request: string,
  ): Promise<void> {
    if (!wasRecentlyAnswered(this.#recentAnswers, identity, this.#options.runtime.now())) {
      await this.#crashes.onConnectionLost(endpoint, this.#toLostRequest(identity, request));
    }
  }

  /** A gate has seen its engine end under a request; it counts the engine's lives. */
  onEngineCrash(
    endpoint: MemberRecord,
    engineOrdinal: number,
    identity: RequestIdentity,
    request: string,
  ): void {
    if (!wasRecentlyAnswered(this.#recentAnswers, identity, this.#options.runtime.now())) {
      this.#crashes.onCrashed(
        `${incarnationKeyOf(endpoint)}#${engineOrdinal}`,
        this.#toLostRequest(identity, request),
      );
    }
  }

  /** A request was answered whole: nothing is held against it any longer. */
  onAnswered(identity: RequestIdentity): void {
    this.#recentAnswers = rememberAnswer(
      this.#recentAnswers,
      identity,
      this.#options.runtime.now(),
    );
    if (this.#quarantine.hasSuspects(identity.customer)) {
      this.#quarantine.clear(this.#digest(identity));
    }
  }

  /** Takes news of members; `isNew` tells whether an id was unknown before them. */
  onMembers(records: readonly MemberRecord[], isNew: (id: string) => boolean): void {
    this.#crashes.onMembers(records, isNew);
  }

  /** Takes the control process's news. */
  onUpdate(update: QuarantineNews): void {
    this.#quarantine.onUpdate(update, HUB, this.#options.send);
  }

  /** A new link to a control process is up: it is told all that is held here. */
  onAttached(): void {
    this.#quarantine.sendAll(this.#options.send);
  }

  tick(): void {
    this.#crashes.tick();
    this.#quarantine.tick();
  }

  #toLostRequest(identity: RequestIdentity, request: string): LostRequest {
    return { digest: this.#digest(identity), customer: identity.customer, request };
  }

  #digest(identity: RequestIdentity): string {
    const digest = this.#digests.get(identity) ?? digestRequest(identity);
    this.#digests.set(identity, digest);
    return digest;
  }
}
