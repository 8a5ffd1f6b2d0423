/** Limits of a change of the expert map, as the configuration declares them. */
import type { MapPolicy } from '../../coordination/index.js';
import type { DocumentDialect, EngineCosts } from '../../protocol/index.js';
import type { ConfigState } from '../../state/index.js';
import type { DaemonHubLink } from '../DaemonHubLink.js';
import type { MapLimits } from './DirectCoordinator.js';
import { textOfDocument } from './DirectDocument.js';
import { DEFAULT_PAUSE_MS } from './DirectGroups.js';

/**
 * Time that a rank may spend on the copies of one change, ms. A change takes some 350 ms besides, and until it is in
 * use passes are as long as before. The first copies gain most: after a shift of demand, two copies per rank of
 * large experts (142 ms each) reduce the skew from 2.9 to 1.1, and ten of small ones (27 ms each) from 3.2 to 1.12.
 * All copies that would fit reduce it by another 0.05 in twice the time.
 */
const COPY_BUDGET_MS = 290;

/** Share of the mean load that a copy must take off the most loaded rank of its set to be worth its bytes. */
const GAIN_PER_COPY = 0.004;

/**
 * Limits of a change: how many new experts per rank fit the time budget for copies, and the gain required of each.
 */
export function mapPolicy({ copyMs, mostNew, sets }: EngineCosts): MapPolicy {
  const all = mostNew * sets;
  const withinBudget = copyMs > 0 ? Math.floor(COPY_BUDGET_MS / copyMs) : all;
  return { maxCopiesPerRank: Math.max(1, Math.min(all, withinBudget)), gainPerCopy: GAIN_PER_COPY };
}

/** Reads the limits of a map change from the configuration. */
export class DirectMapLimits {
  readonly #service: string;

  readonly #documents: DocumentDialect;

  #costs: EngineCosts | null = null;

  #pauseMs = DEFAULT_PAUSE_MS;

  constructor(service: string, documents: DocumentDialect) {
    this.#service = service;
    this.#documents = documents;
  }

  /** Costs of the service's engines; null until a configuration has been read. */
  get costs(): EngineCosts | null {
    return this.#costs;
  }

  get value(): MapLimits | null {
    const costs = this.#costs;
    return costs === null
      ? null
      : {
          shape: { slotsPerRank: costs.slotsPerRank, maxNewExperts: costs.mostNew },
          policy: mapPolicy(costs),
          pauseMs: this.#pauseMs,
          totalExperts: costs.sets * costs.experts,
          costs,
        };
  }

  async read(hubLink: DaemonHubLink): Promise<void> {
    const config = (await hubLink.request('config.whole', {})) as ConfigState;
    const text = textOfDocument(config.entries);
    const plan = text === null ? null : this.#documents.readPlan(text);
    const serviceSpec = plan?.services.find(({ name }) => name === this.#service);
    this.#costs = serviceSpec?.engine ?? this.#costs;
    const pauseLimits = (plan?.routes ?? [])
      .filter(({ targets }) => targets.some(({ service }) => service === this.#service))
      .flatMap(({ pauseMs }) => (pauseMs === null ? [] : [pauseMs]));
    this.#pauseMs = pauseLimits.length === 0 ? this.#pauseMs : Math.min(...pauseLimits);
  }
}
