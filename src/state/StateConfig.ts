/**
 * Configuration as flat entries, so that a change is sent as a small delta: a manifest of 7,300
 * customers has several hundred KB, a change of one customer's limit about a hundred bytes.
 */
import { createHash } from 'node:crypto';
import type {
  ConfigDelta,
  ConfigEntries,
  Customer,
  Json,
  Manifest,
  Service,
} from '../protocol/index.js';

/** A configuration and the index of the log entry that produced it. */
export interface ConfigState {
  readonly index: number;
  readonly entries: ConfigEntries;
}

/** State before the first configuration. */
export const EMPTY_CONFIG: ConfigState = { index: 0, entries: {} };

/** Serializes a value as JSON with sorted keys, so that equal values have equal text. */
export function canonicalJson(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(canonicalJson).join(',')}]`;
  }
  if (value !== null && typeof value === 'object') {
    const body = Object.entries(value)
      .filter(([, item]) => item !== undefined)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, item]) => `${JSON.stringify(key)}:${canonicalJson(item)}`);
    return `{${body.join(',')}}`;
  }
  return JSON.stringify(value);
}

/** Digest of a manifest's content, independent of key order and white space. */
export function digestManifest(manifest: Manifest): string {
  return createHash('sha256').update(canonicalJson(manifest)).digest('hex');
}

/** Flattens a manifest into entries `fleet/kind/name`. */
export function flattenManifest(manifest: Manifest): ConfigEntries {
  const { fleet } = manifest;
  const named = (kind: string, items: readonly { readonly name: string }[]): [string, Json][] =>
    items.map((item) => [`${fleet}/${kind}/${item.name}`, item as unknown as Json]);
  return Object.fromEntries([
    [`${fleet}/fleet/${fleet}`, { version: manifest.version }],
    ...named('zone', manifest.availabilityZones),
    ...named('model', manifest.models),
    ...named('service', manifest.services),
    ...named('customer', manifest.customers),
  ]);
}

/** Changes that turn one set of entries into another. */
export function diffEntries(
  from: ConfigEntries,
  to: ConfigEntries,
): Pick<ConfigDelta, 'set' | 'del'> {
  const set = Object.entries(to).filter(
    ([key, value]) =>
      !Object.hasOwn(from, key) || canonicalJson(from[key]) !== canonicalJson(value),
  );
  return {
    set: Object.fromEntries(set),
    del: Object.keys(from).filter((key) => !Object.hasOwn(to, key)),
  };
}

function omit(entries: ConfigEntries, removedKeys: ReadonlySet<string>): ConfigEntries {
  return Object.fromEntries(Object.entries(entries).filter(([key]) => !removedKeys.has(key)));
}

/** Applies a delta to entries. */
export function patchEntries(
  entries: ConfigEntries,
  delta: Pick<ConfigDelta, 'set' | 'del'>,
): ConfigEntries {
  const removedKeys = new Set(delta.del);
  const kept = removedKeys.size === 0 ? entries : omit(entries, removedKeys);
  return { ...kept, ...delta.set };
}

/** Entries of one fleet. */
export function entriesOfFleet(entries: ConfigEntries, fleet: string): ConfigEntries {
  const prefix = `${fleet}/`;
  return Object.fromEntries(Object.entries(entries).filter(([key]) => key.startsWith(prefix)));
}

/** Result of a delta: with `gap`, all changes since the current index have to be requested. */
export type DeltaResult = 'applied' | 'old' | 'gap';

/**
 * Applies a delta in order of log index, so that the index only increases.
 *
 * A relay that was frozen may send old or reordered deltas, which would bring back an older configuration. A delta
 * that ends at or before the current index is dropped. A later one is applied if it is a snapshot or starts at the
 * current index; otherwise it is a gap.
 */
export function applyConfigDelta(
  state: ConfigState,
  delta: ConfigDelta,
): { readonly state: ConfigState; readonly result: DeltaResult } {
  if (delta.to <= state.index) {
    return { state, result: 'old' };
  }
  if (delta.from === 0) {
    return { state: { index: delta.to, entries: delta.set }, result: 'applied' };
  }
  if (delta.from > state.index) {
    return { state, result: 'gap' };
  }
  if (delta.from < state.index) {
    // The delta has changes that are already applied as well as newer ones; applying it could undo one of the former.
    return { state, result: 'gap' };
  }
  return {
    state: { index: delta.to, entries: patchEntries(state.entries, delta) },
    result: 'applied',
  };
}

/** A service with its fleet. */
export interface FleetService {
  readonly fleet: string;
  readonly service: Service;
}

/** Lookup tables for requests, derived once per configuration. */
export interface ConfigView {
  readonly index: number;
  readonly byModel: ReadonlyMap<string, FleetService>;
  /** Plain services, longest path first. */
  readonly byPath: readonly (readonly [path: string, service: FleetService])[];
  readonly customers: ReadonlyMap<string, Customer>;
}

/** Derives the lookup tables. */
export function viewConfig(config: ConfigState): ConfigView {
  const byModel = new Map<string, FleetService>();
  const byPath: [string, FleetService][] = [];
  const customers = new Map<string, Customer>();
  Object.entries(config.entries).forEach(([key, value]) => {
    const [fleet = '', kind] = key.split('/');
    if (kind === 'customer') {
      const customer = value as unknown as Customer;
      customers.set(customer.name, customer);
    } else if (kind === 'service') {
      const service = value as unknown as Service;
      if (service.kind === 'model') {
        byModel.set(service.model, { fleet, service });
      } else {
        byPath.push([service.path, { fleet, service }]);
      }
    }
  });
  byPath.sort(([a], [b]) => b.length - a.length);
  return { index: config.index, byModel, byPath, customers };
}

/** Region of each availability zone. */
export function regionsOf(entries: ConfigEntries): ReadonlyMap<string, string> {
  return new Map(
    Object.entries(entries)
      .filter(([key]) => key.split('/')[1] === 'zone')
      .map(([, value]) => value as unknown as Manifest['availabilityZones'][number])
      .map(({ name, region }) => [name, region]),
  );
}
