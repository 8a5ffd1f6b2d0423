/** Settings from flags and environment variables, all checked before anything starts. */
import * as z from 'zod';
import { FindingsError, type Finding, type Role } from '../protocol/index.js';
import { parseAddress, type Address } from '../transport/index.js';

/** Unchecked settings by name, from flags and environment variables. */
export type RawSettings = Readonly<Record<string, string | undefined>>;

/** Name of the environment variable of a setting. */
export function envName(setting: string): string {
  return `LABURNUMGAUGE_${setting.toUpperCase().replaceAll('-', '_')}`;
}

/** Name and address of a control process. */
export interface ControlTarget {
  readonly name: string;
  readonly address: Address;
}

const NAME = /^[a-z][a-z0-9-]{0,62}$/;

const name = z.string().regex(NAME, 'must be lower-case letters, digits and dashes');

const address = z.string().transform((text, ctx): Address => {
  const parsed = parseAddress(text);
  if (parsed === undefined) {
    ctx.addIssue({ code: 'custom', message: `"${text}" is not ip:port` });
    return z.NEVER;
  }
  return parsed;
});

const controls = z.string().transform((text, ctx): readonly ControlTarget[] =>
  text.split(',').flatMap((part) => {
    const [key = '', value = ''] = part.split('=');
    const parsed = parseAddress(value);
    if (parsed === undefined || !NAME.test(key)) {
      ctx.addIssue({ code: 'custom', message: `"${part}" is not name=ip:port` });
      return [];
    }
    return [{ name: key, address: parsed }];
  }),
);

const logLevel = z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info');

const ms = z.coerce.number().int().min(0).max(3_600_000);

const base = {
  id: name,
  zone: name,
  http: address,
  control: controls,
  'log-level': logLevel,
};

const ranks = z.string().transform((text, ctx): readonly number[] => {
  const match = /^(\d+)-(\d+)$/.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2]);
  if (match === null || last < first) {
    ctx.addIssue({ code: 'custom', message: `"${text}" is not first-last` });
    return z.NEVER;
  }
  return Array.from({ length: last - first + 1 }, (_item, i) => first + i);
});

const SCHEMAS = {
  control: z.object({
    ...base,
    link: address,
    'data-folder': z.string().min(1),
    'compact-every': z.coerce.number().int().min(8).max(100_000).default(256),
    'test-switch': z.stringbool().default(false),
    'test-cut': z
      .string()
      .default('')
      .transform((text) => text.split(',').filter((part) => part !== '')),
  }),
  entry: z.object({ ...base, 'zone-control': name.optional(), 'drain-ms': ms.default(600_000) }),
  endpoint: z.object({
    ...base,
    engine: z.url({ protocol: /^http$/, error: 'must be an http URL' }),
    fleet: name,
    service: name,
    slots: z.coerce.number().int().min(1).max(100_000).default(8),
    'zone-control': name.optional(),
    group: name.optional(),
    ranks: ranks.optional(),
    'drain-ms': ms.default(600_000),
  }),
} as const;

/** Checked settings of each role. */
export type ControlSettings = z.infer<typeof SCHEMAS.control>;
export type EntrySettings = z.infer<typeof SCHEMAS.entry>;
export type EndpointSettings = z.infer<typeof SCHEMAS.endpoint>;

/** Settings by role. */
export interface SettingsOf {
  readonly control: ControlSettings;
  readonly entry: EntrySettings;
  readonly endpoint: EndpointSettings;
}

/** Names of a role's settings: its flags, and its environment variables by {@link envName}. */
export function settingNames(role: Role): readonly string[] {
  return Object.keys(SCHEMAS[role].shape);
}

/** Checks what involves several settings. */
function crossCheck(role: Role, raw: RawSettings): readonly Finding[] {
  const controlNames = (raw.control ?? '').split(',').map((part) => part.split('=')[0]);
  const isUnlisted = role === 'control' && raw.id !== undefined && !controlNames.includes(raw.id);
  const isPairIncomplete = (raw.group === undefined) !== (raw.ranks === undefined);
  return [
    ...(isUnlisted
      ? [{ place: '--control', message: `does not list this process, "${raw.id}"` }]
      : []),
    ...(isPairIncomplete && role === 'endpoint'
      ? [{ place: '--group', message: 'goes together with --ranks' }]
      : []),
  ];
}

/**
 * Checks all settings of a role.
 *
 * @throws {FindingsError} with every finding, each naming its flag.
 */
export function checkSettings<R extends Role>(role: R, raw: RawSettings): SettingsOf[R] {
  const parsed = SCHEMAS[role].safeParse(raw);
  const findings: Finding[] = (parsed.error?.issues ?? []).map((issue) => {
    const key = String(issue.path[0]);
    return {
      place: `--${key} (${envName(key)})`,
      message: raw[key] === undefined ? 'is required' : issue.message,
    };
  });
  const all = [...findings, ...crossCheck(role, raw)];
  if (!parsed.success || all.length > 0) {
    throw new FindingsError(`settings of role ${role}`, all);
  }
  return parsed.data as unknown as SettingsOf[R];
}
