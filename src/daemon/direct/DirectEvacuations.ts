/** Evacuated zones at an entry process: which endpoints get no requests, and which services have no others. */
import { Gauge } from 'prom-client';
import {
  FRESHNESS_LEASE_FRACTION,
  isOutdated,
  receiveConfig,
  receiveNewestIndex,
  UNPROVEN,
  type ClockReading,
  type FreshnessState,
} from '../../coordination/index.js';
import { RequestError, type MemberRecord } from '../../protocol/index.js';
import { evacuationsOf, type ConfigState } from '../../state/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DIRECT_FLEET } from './DirectDocument.js';

/** Options of {@link DirectEvacuations}. */
export interface DirectEvacuationsOptions {
  readonly runtime: Pick<Runtime, 'now' | 'clocks' | 'log' | 'registry'>;
  /** Time within which an accepted evacuation must be in force, ms; null where zones aren't evacuated. */
  readonly evacuateMs: number | null;
  /** Called when the end of a zone's evacuation has come in force here. */
  readonly onEvacuationFinished: (zone: string) => void;
}

/** The endpoints of a service in evacuated zones. */
interface EvacuatedEndpoints {
  readonly ids: readonly string[];
  readonly zones: ReadonlySet<string>;
  /** Whether the service has no endpoints elsewhere. */
  readonly isWhole: boolean;
}

/** Evacuations in force at one entry process. */
export class DirectEvacuations {
  readonly #options: DirectEvacuationsOptions;

  /** Evacuated zones, with the index of the log entry since which they have been evacuated. */
  #zones: ReadonlyMap<string, number> = new Map();

  /** Known endpoints in evacuated zones, by service. */
  #services: ReadonlyMap<string, EvacuatedEndpoints> = new Map();

  #evacuatedIds: ReadonlySet<string> = new Set();

  #freshness: FreshnessState = UNPROVEN;

  constructor(options: DirectEvacuationsOptions) {
    this.#options = options;
    const count = (): number => this.#zones.size;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_evacuated_zones',
      help: 'Zones to whose endpoints no requests are sent',
      registers: [options.runtime.registry],
      collect() {
        this.set(count());
      },
    });
  }

  /** Names of the evacuated zones. */
  get zones(): readonly string[] {
    return [...this.#zones.keys()];
  }

  /** Services that have endpoints in evacuated zones only. */
  get evacuatedServices(): readonly string[] {
    return [...this.#services].flatMap(([service, { isWhole }]) => (isWhole ? [service] : []));
  }

  /** Puts the evacuations of a configuration in force. */
  receive({ index, entries }: ConfigState): void {
    const before = this.#zones;
    this.#zones = new Map(evacuationsOf(entries).map(({ zone, since }) => [zone, since]));
    this.#freshness = receiveConfig(this.#freshness, index);
    this.#zones.forEach((since, zone) => {
      if (before.get(zone) !== since) {
        this.#log(zone, 'begin', index);
      }
    });
    [...before.keys()]
      .filter((zone) => !this.#zones.has(zone))
      .forEach((zone) => {
        this.#log(zone, 'finish', index);
        this.#options.onEvacuationFinished(zone);
      });
  }

  /** Records the newest index, as named by a leader with a fresh quorum in reply to a poll sent at `requestedAt`. */
  onNewest(index: number, requestedAt: ClockReading): void {
    this.#freshness = receiveNewestIndex(this.#freshness, index, requestedAt);
  }

  /** Sets the known members; unreachable ones count as endpoints of their services until they are forgotten. */
  setMembers(records: readonly MemberRecord[]): void {
    const services = new Map<string, MemberRecord[]>();
    if (this.#zones.size > 0) {
      records.forEach((record) => {
        const { offer } = record;
        if (offer?.fleet === DIRECT_FLEET) {
          const known = services.get(offer.service) ?? [];
          known.push(record);
          services.set(offer.service, known);
        }
      });
    }
    this.#services = new Map(
      [...services].map(([service, endpoints]) => {
        const inside = endpoints.filter(({ zone }) => this.#zones.has(zone));
        const ids = inside.map(({ id }) => id);
        const zones = new Set(inside.map(({ zone }) => zone));
        return [service, { ids, zones, isWhole: inside.length === endpoints.length }];
      }),
    );
    this.#evacuatedIds = new Set([...this.#services.values()].flatMap(({ ids }) => ids));
  }

  /** Ids of the endpoints of a service that must not be chosen. */
  endpointsOf(service: string): readonly string[] {
    return this.#services.get(service)?.ids ?? [];
  }

  /** Whether the endpoint with an id is in an evacuated zone. */
  isEvacuated(id: string): boolean {
    return this.#evacuatedIds.has(id);
  }

  /**
   * Whether a request may be sent to an endpoint now. A newer configuration that is known of and hasn't arrived may
   * evacuate any zone, so nothing is sent once that would have to be in force.
   */
  mayReceive({ zone }: MemberRecord): boolean {
    const { evacuateMs, runtime } = this.#options;
    const isOverdue =
      evacuateMs !== null &&
      isOutdated(this.#freshness, runtime.clocks(), evacuateMs * FRESHNESS_LEASE_FRACTION);
    return !this.#zones.has(zone) && !isOverdue;
  }

  /** The refusal of a request to a service whose endpoints are all in evacuated zones; null for another service. */
  refusal(service: string): RequestError | null {
    const evacuated = this.#services.get(service);
    if (evacuated?.isWhole !== true) {
      return null;
    }
    const zones = [...evacuated.zones].sort().join(', ');
    return new RequestError('no_endpoint', `all zones of the service are evacuated: ${zones}`);
  }

  #log(zone: string, order: 'begin' | 'finish', index: number): void {
    this.#options.runtime.log.info(
      { event: 'evacuation', at: 'entry', zone, order, index, result: 'in force' },
      'evacuation of a zone',
    );
  }
}
