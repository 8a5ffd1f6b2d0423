/**
 * Screens the requests of an entry process: finds out during which of them endpoints crash, and which must therefore
 * not be sent. It is consulted before each send, whatever the reason for the send.
 */
import {
  decideTrial,
  findCombination,
  incarnationKeyOf,
  QUARANTINE_CRASHES,
  rememberAnswer,
  SoundParts,
  wasRecentlyAnswered,
  type LostRequest,
  type RecentAnswers,
  type TrialTimes,
} from '../coordination/index.js';
import {
  digestRequest,
  type MemberRecord,
  type QuarantineUpdate,
  type RequestIdentity,
  type SuspectKind,
} from '../protocol/index.js';
import { probeAddress } from '../transport/index.js';
import { DaemonEndpointCrashes } from './DaemonEndpointCrashes.js';
import type { EntryMetrics } from './DaemonEntryMetrics.js';
import { DaemonPartDigests } from './DaemonPartDigests.js';
import { DaemonQuarantine, type SendQuarantineUpdate } from './DaemonQuarantine.js';
import type { Runtime } from './DaemonRuntime.js';

/** Dependencies of {@link DaemonScreening}. */
export interface ScreeningOptions {
  readonly runtime: Runtime;
  readonly metrics: EntryMetrics;
  /** Sends an update to the control process; it is lost while there is no link. */
  readonly send: SendQuarantineUpdate;
}

/** Sender name for all updates from control processes: this process is attached to only one at a time. */
const HUB = 'hub';

/** Screens the requests of one entry process. */
export class DaemonScreening {
  readonly #options: ScreeningOptions;

  readonly #quarantine: DaemonQuarantine;

  readonly #crashes: DaemonEndpointCrashes;

  readonly #digests = new WeakMap<RequestIdentity, string>();

  readonly #partDigests = new DaemonPartDigests();

  readonly #soundParts = new SoundParts();

  #recentAnswers: RecentAnswers = [];

  #trialTimes: TrialTimes = new Map();

  /** What is tried with a request that is sent although it is quarantined; see {@link decideTrial}. */
  readonly #trials = new WeakMap<RequestIdentity, string>();

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
    this.#quarantine.registerListener((changed) =>
      this.#clearSoundParts(
        changed.filter(({ kind }) => kind === 'part').map(({ digest }) => digest),
      ),
    );
    metrics.addSuspects(() => this.#quarantine.suspects.length);
    metrics.addForgottenParts(() => this.#soundParts.forgotten);
    this.#crashes = new DaemonEndpointCrashes({
      runtime,
      probe: probeAddress,
      crashes: metrics.endpointCrashes,
      onSuspects: (incarnationKey, suspects) =>
        this.#quarantine.recordSuspects(incarnationKey, suspects, runtime.clocks().wall),
    });
  }

  /**
   * Whether a request must not be sent: at least `quarantineCrashes` endpoints have crashed during it, or parts of its
   * prompt explain as many crashes and aren't tried with it.
   */
  isQuarantined(identity: RequestIdentity, quarantineCrashes: number): boolean {
    const suspect = this.#quarantinedAs(identity, quarantineCrashes);
    return (
      suspect !== null && !(suspect.kind === 'part' && this.#isTrial(identity, suspect.digest))
    );
  }

  /** Time after which a quarantined request may be sent again, ms. */
  quarantinedForMs(identity: RequestIdentity): number {
    const suspect = this.#quarantinedAs(identity, QUARANTINE_CRASHES.group);
    return suspect === null ? 0 : this.#quarantine.quarantinedForMs(suspect.digest);
  }

  /** Logs that a request was not sent because it is quarantined. */
  logQuarantined(identity: RequestIdentity, request: string): void {
    const suspect = this.#quarantinedAs(identity, QUARANTINE_CRASHES.group);
    if (suspect !== null) {
      const ends = this.#quarantine.crashCount(suspect.digest);
      this.#options.runtime.log.info(
        { event: 'held', request, ...suspect, ends },
        'not sent: endpoints have crashed during this request, or ones with the same part',
      );
    }
  }

  /** Whether a request is sent to find out whether quarantined parts are sound, of which one is given. */
  #isTrial(identity: RequestIdentity, digest: string): boolean {
    const { now, random, log } = this.#options.runtime;
    const crashes = this.#quarantine.crashCount(digest);
    const key = `${digest}=${crashes}`;
    if (this.#trials.get(identity) === key) {
      return true;
    }
    if (this.#quarantine.crashCount(this.#digest(identity)) > 0) {
      return false;
    }
    const answeredAt = this.#soundParts.answeredAt(identity.customer);
    const step = decideTrial(this.#trialTimes, { key, crashes, answeredAt }, now(), random());
    this.#trialTimes = step.times;
    if (step.isTrial) {
      this.#trials.set(identity, key);
      log.info({ event: 'trial', digest, ends: crashes }, 'sent though parts are quarantined');
    }
    return step.isTrial;
  }

  /** What a request is quarantined for: itself, or parts of its prompt, of which one is named; null if it isn't. */
  #quarantinedAs(
    identity: RequestIdentity,
    quarantineCrashes: number,
  ): { readonly kind: SuspectKind; readonly digest: string } | null {
    const isHeld =
      this.#quarantine.hasSuspects(identity.customer) &&
      this.#quarantine.crashCount(this.#digest(identity)) >= quarantineCrashes;
    if (isHeld) {
      return { kind: 'request', digest: this.#digest(identity) };
    }
    const combinations = this.#quarantine.quarantinedCombinations(quarantineCrashes);
    if (combinations.length === 0) {
      return null;
    }
    const combination = findCombination(combinations, this.#partsOf(identity));
    return combination === null ? null : { kind: 'part', digest: combination.digest };
  }

  /**
   * Calls `onQuarantined` after each change of the set while the request is quarantined; returns a function that
   * unregisters it.
   */
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
   * Handles a lost connection to an endpoint during a request. Resolves once it is known, as far as possible, whether
   * the endpoint crashed. A request that endpoints answered completely a short while ago isn't suspected: one that is
   * sent all the time is in progress at almost any endpoint, so also at one that crashes for another reason.
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

  /**
   * Handles the crash of an engine during a request, reported by its gate, which counts the engine's incarnations.
   */
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

  /** Records a complete answer, which clears the request of all crashes counted so far. */
  onAnswered(identity: RequestIdentity): void {
    this.#recentAnswers = rememberAnswer(
      this.#recentAnswers,
      identity,
      this.#options.runtime.now(),
    );
    if (this.#quarantine.hasSuspects(identity.customer)) {
      this.#quarantine.clear([this.#digest(identity)]);
    }
    this.onPartsAnswered(identity);
  }

  /** Records that an endpoint could begin to answer a request, which clears the parts of its prompt. */
  onPartsAnswered(identity: RequestIdentity): void {
    const parts = this.#partsOf(identity);
    if (parts.length > 0) {
      this.#soundParts.add(identity.customer, parts, this.#options.runtime.now());
      this.#clearSoundParts(parts);
    }
  }

  /** Handles changed member records; `isNew` tells whether an id was unknown before them. */
  onMembers(records: readonly MemberRecord[], isNew: (id: string) => boolean): void {
    this.#crashes.onMembers(records, isNew);
  }

  /** Handles an update from the control process. */
  onUpdate(update: QuarantineUpdate): void {
    this.#quarantine.onUpdate(update, HUB, this.#options.send);
  }

  /** Sends the whole set to the control process on a new link. */
  onAttached(): void {
    this.#quarantine.sendAll(this.#options.send);
  }

  tick(): void {
    this.#soundParts.tick(this.#options.runtime.now());
    this.#crashes.tick();
    this.#quarantine.tick();
  }

  #toLostRequest(identity: RequestIdentity, request: string): LostRequest {
    const now = this.#options.runtime.now();
    const parts = this.#partsOf(identity).filter((part) => !this.#soundParts.has(part, now));
    return { digest: this.#digest(identity), customer: identity.customer, parts, request };
  }

  /** Clears those of some parts that are suspect and that endpoints have answered on here, whoever suspects them. */
  #clearSoundParts(digests: readonly string[]): void {
    if (!this.#quarantine.hasParts) {
      return;
    }
    const now = this.#options.runtime.now();
    const sound = digests.filter(
      (digest) => this.#quarantine.crashCount(digest) > 0 && this.#soundParts.has(digest, now),
    );
    if (sound.length > 0) {
      this.#quarantine.clear(sound);
    }
  }

  #partsOf(identity: RequestIdentity): readonly string[] {
    return this.#partDigests.of(identity);
  }

  #digest(identity: RequestIdentity): string {
    const digest = this.#digests.get(identity) ?? digestRequest(identity);
    this.#digests.set(identity, digest);
    return digest;
  }
}
