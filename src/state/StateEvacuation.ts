/**
 * Evacuated availability zones, as entries of the configuration: no request is sent to the endpoints of such a zone.
 * They belong to no fleet, so a document or manifest that replaces a fleet's configuration keeps them.
 */
import type { ConfigDelta, ConfigEntries } from '../protocol/index.js';
import type { ConfigState } from './StateConfig.js';

/** Prefix of the entries. A fleet name can't begin with `@`, so that no fleet's entries have it. */
const EVACUATION_PREFIX = '@system/evacuation/';

/** An evacuated zone, and the index of the log entry since which it has been evacuated. */
export interface Evacuation {
  readonly zone: string;
  readonly since: number;
}

/** Key of the entry of an evacuated zone. */
function evacuationKey(zone: string): string {
  return `${EVACUATION_PREFIX}${zone}`;
}

function isEvacuationKey(key: string): boolean {
  return key.startsWith(EVACUATION_PREFIX);
}

/** The entries of evacuated zones among the entries of a configuration. */
export function evacuationEntries(entries: ConfigEntries): ConfigEntries {
  return Object.fromEntries(Object.entries(entries).filter(([key]) => isEvacuationKey(key)));
}

/** The evacuated zones of a configuration, ordered by name. */
export function evacuationsOf(entries: ConfigEntries): readonly Evacuation[] {
  return Object.entries(evacuationEntries(entries))
    .map(([key, value]) => ({
      zone: key.slice(EVACUATION_PREFIX.length),
      since: (value as { readonly since: number }).since,
    }))
    .sort((a, b) => (a.zone < b.zone ? -1 : 1));
}

/** Whether a zone is evacuated in a configuration. */
export function isEvacuated(entries: ConfigEntries, zone: string): boolean {
  return Object.hasOwn(entries, evacuationKey(zone));
}

/** The change by which the log entry `index` begins or finishes an evacuation; null if it changes nothing. */
export function evacuationDelta(
  config: ConfigState,
  zone: string,
  evacuated: boolean,
  index: number,
): ConfigDelta | null {
  if (isEvacuated(config.entries, zone) === evacuated) {
    return null;
  }
  const key = evacuationKey(zone);
  return {
    from: config.index,
    to: index,
    set: evacuated ? { [key]: { since: index } } : {},
    del: evacuated ? [] : [key],
  };
}

/**
 * Whether the evacuation of a zone may have begun or finished since the configuration with index `base`. The answer is
 * yes where the deltas since then aren't kept any more.
 */
export function mayHaveChangedSince(
  { config, deltas }: { readonly config: ConfigState; readonly deltas: readonly ConfigDelta[] },
  zone: string,
  base: number,
): boolean {
  if (config.index === base) {
    return false;
  }
  const key = evacuationKey(zone);
  const start = deltas.findIndex(({ from }) => from === base);
  return (
    start === -1 ||
    deltas.slice(start).some(({ set, del }) => Object.hasOwn(set, key) || del.includes(key))
  );
}

/** Zones whose evacuation has ended between two configurations. */
export function finishedEvacuations(
  before: ConfigEntries,
  after: ConfigEntries,
): readonly string[] {
  return evacuationsOf(before)
    .map(({ zone }) => zone)
    .filter((zone) => !isEvacuated(after, zone));
}
