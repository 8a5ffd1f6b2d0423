/** The configuration of an entry process, how recent it is known to be, and the zones that it lists as evacuated. */
import {
  FRESHNESS_LEASE_FRACTION,
  isFresh,
  isOutdated,
  isProven,
  receiveConfig,
  receiveNewestIndex,
  UNPROVEN,
  type ClockReading,
  type FreshnessState,
} from '../../coordination/index.js';
import type { DocumentDialect } from '../../protocol/index.js';
import { viewRoutes, type ConfigState, type RouteView } from '../../state/index.js';
import { documentKey, textOfDocument } from './DirectDocument.js';
import { DirectEvacuations, type DirectEvacuationsOptions } from './DirectEvacuations.js';
import { DirectModels } from './DirectModels.js';

/** Options of a {@link DirectConfig}. */
export interface DirectConfigOptions extends DirectEvacuationsOptions {
  readonly documents: DocumentDialect;
  /** Time within which a revoked key must stop working, ms. */
  readonly revokeMs: number;
  /** Time within which an accepted configuration must be in force, ms. */
  readonly applyMs: number;
}

/**
 * Maximum age of the proof that the configuration is the newest for a key or path to be refused as unknown, ms:
 * just over two poll intervals, and below the 2 s within which a change must be in force.
 */
const DENIAL_MAX_AGE_MS = 1_500;

/** Configuration of one entry process. */
export class DirectConfig {
  readonly #options: DirectConfigOptions;

  readonly evacuations: DirectEvacuations;

  /** Model services, as the newest configuration declares them. */
  readonly models = new DirectModels();

  #routes: RouteView | null = null;

  /** Identity of the document that `#routes` was decoded from. */
  #documentKey: string | null = null;

  #freshness: FreshnessState = UNPROVEN;

  constructor(options: DirectConfigOptions) {
    this.#options = options;
    this.evacuations = new DirectEvacuations(options);
  }

  get routes(): RouteView | null {
    return this.#routes;
  }

  /** Whether the configuration held here was proven to be the newest recently enough to accept keys by it. */
  get isFresh(): boolean {
    const leaseMs = this.#options.revokeMs * FRESHNESS_LEASE_FRACTION;
    return isFresh(this.#freshness, this.#options.runtime.clocks(), leaseMs);
  }

  /** When the question was sent whose answer last proved a configuration to be the newest, ms; -Infinity for never. */
  get provenAt(): number {
    return this.#freshness.provenAt?.monotonic ?? -Infinity;
  }

  /** Whether the configuration held here was proven to be the newest since this process started. */
  get isProven(): boolean {
    return isProven(this.#freshness);
  }

  /** Whether a newer configuration is known of that must be in force by now, and has not arrived. */
  get isOutdated(): boolean {
    const applyMs = this.#options.applyMs * FRESHNESS_LEASE_FRACTION;
    return isOutdated(this.#freshness, this.#options.runtime.clocks(), applyMs);
  }

  /** Whether a key or path unknown to this process is unknown to the newest configuration too. */
  get mayDeny(): boolean {
    return isFresh(this.#freshness, this.#options.runtime.clocks(), DENIAL_MAX_AGE_MS);
  }

  /** Why requests can't be served by the configuration; null if they can. */
  get obstacle(): string | null {
    if (this.#routes === null) {
      return 'no configuration yet';
    }
    if (this.isOutdated) {
      return 'a newer configuration has not arrived';
    }
    return this.isFresh ? null : 'not sure that the configuration is the newest';
  }

  /**
   * Puts a configuration in force. Its evacuations are in force even if its document can't be read.
   *
   * @throws if the document can't be read; the one before then stays in force.
   */
  receive(config: ConfigState): void {
    this.evacuations.receive(config);
    const isNewDocument = this.#decode(config);
    const provenAt = this.#freshness.provenAt?.monotonic;
    this.#setFreshness(receiveConfig(this.#freshness, config.index));
    if (!isNewDocument) {
      return;
    }
    const { log, now } = this.#options.runtime;
    const version = this.#routes?.plan.version ?? null;
    // How long ago the one before was last known to be the newest: this one was accepted after that.
    const sinceProofMs = provenAt === undefined ? null : Math.round(now() - provenAt);
    const asksForKeys = this.#routes?.asksForKeys;
    log.info(
      { event: 'config', index: config.index, version, sinceProofMs, asksForKeys },
      'in force',
    );
  }

  /**
   * Records the newest index, as named by a leader with a fresh quorum in reply to a poll sent at `requestedAt`.
   * Returns whether that configuration is held here.
   */
  onNewest(index: number, requestedAt: ClockReading): boolean {
    this.evacuations.onNewest(index, requestedAt);
    this.#setFreshness(receiveNewestIndex(this.#freshness, index, requestedAt));
    return this.#freshness.heldConfigIndex >= index;
  }

  /**
   * Decodes the document, unless it is the one in force: a large one takes long, and an evacuation changes only its own
   * entry. Returns whether it is a new one.
   */
  #decode({ entries }: ConfigState): boolean {
    const key = documentKey(entries);
    if (key !== null && key === this.#documentKey) {
      return false;
    }
    const text = textOfDocument(entries);
    if (text !== null) {
      this.#routes = viewRoutes(this.#options.documents.readPlan(text));
    }
    this.#documentKey = key;
    this.models.setRoutes(this.#routes);
    return true;
  }

  #setFreshness(freshness: FreshnessState): void {
    const wasProven = this.isProven;
    this.#freshness = freshness;
    if (!wasProven && this.isProven) {
      this.#options.runtime.log.info(
        { event: 'proven', index: freshness.heldConfigIndex },
        'configuration proven to be the newest',
      );
    }
  }
}
