/** What limits a change of map, as the configuration declares it. */
import type { MapPolicy } from '../../coordination/index.js';
import type { DocumentDialect, EngineCosts } from '../../protocol/index.js';
import type { ConfigState } from '../../state/index.js';
import type { DaemonHubLink } from '../DaemonHubLink.js';
import { USUAL_PAUSE_MS } from './DirectAdmission.js';
import type { MapTerms } from './DirectCoordinator.js';
import { textOfDocument } from './DirectDocument.js';

/**
 * What a change of map is worth. Copying an expert of 780 MB takes some 140 ms, so five bring a change
 * in under a second, where demand shifts every few; a copy that takes less than 0.4 % off the most
 * loaded rank costs more than it brings.
 */
const MAP_POLICY: MapPolicy = { mostNewPerRank: 5, gainPerCopy: 0.004 };

/** Reads from the configuration what limits a change of map. */
export class DirectMapTerms {
  readonly #service: string;

  readonly #documents: DocumentDialect;

  #costs: EngineCosts | null = null;

  #pauseMs = USUAL_PAUSE_MS;

  constructor(service: string, documents: DocumentDialect) {
    this.#service = service;
    this.#documents = documents;
  }

  get value(): MapTerms | null {
    const costs = this.#costs;
    return costs === null
      ? null
      : {
          shape: { slotsPerRank: costs.slotsPerRank, mostNew: costs.mostNew },
          policy: MAP_POLICY,
          pauseMs: this.#pauseMs,
        };
  }

  async read(hubLink: DaemonHubLink): Promise<void> {
    const config = (await hubLink.request('config.whole', {})) as ConfigState;
    const text = textOfDocument(config.entries);
    const plan = text === null ? null : this.#documents.readPlan(text);
    const spec = plan?.services.find(({ name }) => name === this.#service);
    this.#costs = spec?.engine ?? this.#costs;
    const pauses = (plan?.routes ?? [])
      .filter(({ targets }) => targets.some(({ service }) => service === this.#service))
      .flatMap(({ pauseMs }) => (pauseMs === null ? [] : [pauseMs]));
    this.#pauseMs = pauses.length === 0 ? this.#pauseMs : Math.min(...pauses);
  }
}
