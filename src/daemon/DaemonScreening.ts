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
import { DaemonEndpointEnds } from './DaemonEndpointEnds.js';
import type { EntryMetrics } from './DaemonEntryMetrics.js';
import { DaemonQuarantine, type SendNews } from './DaemonQuarantine.js';
import type { Runtime } from './DaemonRuntime.js';

/** What the task needs. */
export interface ScreeningOptions {
  readonly runtime: Runtime;
  readonly metrics: EntryMetrics;
  /** Sends news to the control process; lost while there is no link. */
  readonly send: SendNews;
}

/** Name under which the control process's news are taken: there is one at a time. */
const HUB = 'hub';

/** The task. */
export class DaemonScreening {
  readonly #options: ScreeningOptions;

  readonly #quarantine: DaemonQuarantine;

  readonly #ends: DaemonEndpointEnds;

  readonly #digests = new WeakMap<RequestIdentity, string>();

  #answers: RecentAnswers = [];

  constructor(options: ScreeningOptions) {
    this.#options = options;
    const { runtime, metrics, send } = options;
    this.#quarantine = new DaemonQuarantine({
      runtime,
      publish: (news, from) => {
        if (from === null) {
          send(news);
        }
      },
    });
    metrics.addSuspects(() => this.#quarantine.suspects.length);
    this.#ends = new DaemonEndpointEnds({
      runtime,
      probe: probeAddress,
      ends: metrics.endpointEnds,
      onSuspects: (life, suspects) => this.#quarantine.holdEnd(life, suspects),
    });
  }

  /** Whether a request must be sent to no endpoint: so many have ended under it. */
  isHeld(identity: RequestIdentity, mostEnds: number): boolean {
    return (
      this.#quarantine.hasSuspectOf(identity.customer) &&
      this.#quarantine.endsOf(this.#digest(identity)) >= mostEnds
    );
  }

  /** Time after which a request that is held may be sent again, ms. */
  heldForMs(identity: RequestIdentity): number {
    return this.#quarantine.heldForMs(this.#digest(identity));
  }

  /** Writes down that a request was not sent since it is held. */
  logHeld(identity: RequestIdentity, request: string): void {
    const digest = this.#digest(identity);
    const ends = this.#quarantine.endsOf(digest);
    this.#options.runtime.log.info(
      { event: 'held', request, digest, ends },
      'not sent: endpoints have ended under this request',
    );
  }

  /** Calls once a request in progress is held; the result ends that. */
  registerHeld(identity: RequestIdentity, mostEnds: number, onHeld: () => void): () => void {
    return this.#quarantine.registerListener(() => {
      if (this.isHeld(identity, mostEnds)) {
        onHeld();
      }
    });
  }

  /**
   * The connection to an endpoint has ended under a request. Resolves once it is known, as far as it can be, whether
   * the endpoint has. What endpoints have answered whole a short while ago isn't suspected: a call that comes all the
   * time is in progress wherever an endpoint ends.
   */
  async onLost(endpoint: MemberRecord, identity: RequestIdentity, request: string): Promise<void> {
    if (!wasRecentlyAnswered(this.#answers, identity, this.#options.runtime.now())) {
      await this.#ends.onLost(endpoint, this.#lost(identity, request));
    }
  }

  /** A gate has seen its engine end under a request; it counts the engine's lives. */
  onEnded(endpoint: MemberRecord, life: number, identity: RequestIdentity, request: string): void {
    if (!wasRecentlyAnswered(this.#answers, identity, this.#options.runtime.now())) {
      this.#ends.onEnded(`${incarnationKeyOf(endpoint)}#${life}`, this.#lost(identity, request));
    }
  }

  /** A request was answered whole: nothing is held against it any longer. */
  onWhole(identity: RequestIdentity): void {
    this.#answers = rememberAnswer(this.#answers, identity, this.#options.runtime.now());
    if (this.#quarantine.hasSuspectOf(identity.customer)) {
      this.#quarantine.clear(this.#digest(identity));
    }
  }

  /** Takes news of members; `isNew` tells whether an id was unknown before them. */
  onMembers(records: readonly MemberRecord[], isNew: (id: string) => boolean): void {
    this.#ends.onMembers(records, isNew);
  }

  /** Takes the control process's news. */
  onNews(news: QuarantineNews): void {
    this.#quarantine.onNews(news, HUB, this.#options.send);
  }

  /** A new link to a control process is up: it is told all that is held here. */
  onUp(): void {
    this.#quarantine.introduce(this.#options.send);
  }

  tick(): void {
    this.#ends.tick();
    this.#quarantine.tick();
  }

  #lost(identity: RequestIdentity, request: string): LostRequest {
    return { digest: this.#digest(identity), customer: identity.customer, request };
  }

  #digest(identity: RequestIdentity): string {
    const digest = this.#digests.get(identity) ?? digestRequest(identity);
    this.#digests.set(identity, digest);
    return digest;
  }
}
