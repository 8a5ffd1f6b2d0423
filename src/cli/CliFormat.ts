/** Formats answers of the administration API as text. */

type Row = Readonly<Record<string, unknown>>;

/** Formats rows in columns. */
function table(columns: readonly string[], rows: readonly Row[]): string {
  const cells = rows.map((row) => columns.map((column) => String(row[column] ?? '-')));
  const widths = columns.map((column, i) =>
    Math.max(column.length, ...cells.map((line) => line[i]?.length ?? 0)),
  );
  return [columns, ...cells]
    .map((line) =>
      line
        .map((cell, i) => cell.padEnd(widths[i] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

interface StatusBody {
  readonly controls: readonly (Row & { readonly attached: readonly unknown[] })[];
  readonly processes: readonly Row[];
  readonly fleets: readonly Row[];
  /** Not sent by control processes of an earlier version. */
  readonly evacuations?: readonly Row[];
  readonly configIndex: number;
  readonly inForce: number;
  readonly live: number;
  /** Missing in answers of control processes of an earlier version. */
  readonly urgencyLevels?: readonly Row[];
  /** Cold endpoints, with the remaining time when it was last published; not sent by earlier versions. */
  readonly cold?: readonly Row[];
}

/** Formats the requests of one priority that were granted at a group in the last interval. */
function formatLevel(row: Row): Row {
  const demand = Number(row.demand);
  const granted = Number(row.granted);
  return {
    ...row,
    demand: demand.toFixed(1),
    granted: granted.toFixed(1),
    admitted: `${Math.round((100 * granted) / Math.max(demand, 0.001))} %`,
  };
}

/** Formats the status of the whole system. */
export function formatStatus(body: StatusBody): string {
  const levels = (body.urgencyLevels ?? []).map(formatLevel);
  const controls = body.controls.map((row) => ({ ...row, attached: row.attached.length }));
  const evacuations = (body.evacuations ?? []).map((row) => ({
    ...row,
    'evacuated zone': row.zone,
  }));
  return [
    table(
      ['name', 'replica', 'role', 'term', 'commit', 'rollout', 'configIndex', 'attached'],
      controls,
    ),
    table(['fleet', 'version', 'digest'], body.fleets),
    ...(evacuations.length > 0 ? [table(['evacuated zone', 'since'], evacuations)] : []),
    table(['id', 'role', 'zone', 'address', 'status', 'appliedIndex'], body.processes),
    ...(levels.length === 0
      ? []
      : [table(['group', 'priority', 'demand', 'granted', 'admitted'], levels)]),
    ...(body.cold === undefined || body.cold.length === 0
      ? []
      : [`cold endpoints\n${table(['id', 'zone', 'service', 'statedMs'], body.cold)}`]),
    `configuration ${body.configIndex} in force on ${body.inForce} of ${body.live} processes`,
  ].join('\n\n');
}

interface EndpointRow extends Row {
  readonly offer?: Row;
}

/** Formats endpoints with their offers. */
export function formatEndpoints(body: { readonly endpoints: readonly EndpointRow[] }): string {
  const rows = body.endpoints.map(({ offer, ...row }) => ({ ...row, ...offer }));
  return table(['id', 'zone', 'address', 'status', 'fleet', 'service', 'slots', 'group'], rows);
}

interface GroupRow extends Row {
  readonly endpoints: readonly { readonly id: string; readonly ranks: readonly number[] }[];
}

/** Formats groups of ranks. */
export function formatGroups(body: { readonly groups: readonly GroupRow[] }): string {
  const rows = body.groups.map((row) => ({
    ...row,
    endpoints: row.endpoints.map(({ id }) => id).join(','),
    ranks: row.endpoints.reduce((sum, { ranks }) => sum + ranks.length, 0),
  }));
  return table(['name', 'fleet', 'service', 'ranks', 'endpoints', 'coordinator', 'token'], rows);
}

interface DiffBody {
  readonly fleet: string;
  readonly version: number;
  readonly verdict: unknown;
  readonly changes: readonly {
    readonly key: string;
    readonly change: string;
    readonly from: unknown;
    readonly to: unknown;
  }[];
}

/** Formats the changes that a submission would make. */
export function formatDiff(body: DiffBody): string {
  const verdict = typeof body.verdict === 'string' ? body.verdict : JSON.stringify(body.verdict);
  const lines = body.changes.map(
    ({ key, change, from, to }) =>
      `${change} ${key}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`,
  );
  return [`${body.fleet} version ${body.version}: ${verdict}`, ...lines].join('\n');
}

/** Formats the result of a submission. */
export function formatSubmit(body: Row): string {
  const { result, fleet, version, ...rest } = body;
  const details = Object.entries(rest).map(([key, value]) => `${key}=${String(value)}`);
  return `${String(result)}: ${String(fleet ?? '')} ${String(version ?? '')} ${details.join(' ')}`;
}

/** Formats the accepted manifest of a fleet. */
export function formatManifest(body: Row & { readonly entries: Row }): string {
  const entries = Object.entries(body.entries).map(
    ([key, value]) => `${key}: ${JSON.stringify(value)}`,
  );
  return [
    `${String(body.fleet)} version ${String(body.version)} ${String(body.digest)}`,
    ...entries,
  ].join('\n');
}

/** Formats requests that endpoints crashed on. */
export function formatQuarantine(body: {
  readonly requests: readonly (Row & { readonly lives: readonly string[] })[];
}): string {
  const rows = body.requests.map((row) => ({ ...row, lives: row.lives.join(',') }));
  return table(['kind', 'digest', 'customer', 'ends', 'forgottenInS', 'lives'], rows);
}

/** Formats the release of a request. */
export function formatRelease({ digest }: Row): string {
  return `${String(digest)}: released from quarantine`;
}

/** Formats the result of an order to begin or finish an evacuation. */
export function formatEvacuation({ zone, evacuated, index }: Row): string {
  const state = evacuated === true ? 'evacuated' : 'not evacuated';
  return `${String(zone)}: ${state}, configuration ${String(index)}`;
}
