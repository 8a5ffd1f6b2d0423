/** Runs the request path of the real entry in this process, with a fixed configuration and given endpoints. */
import type { AddressInfo } from 'node:net';
import { pino } from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { Registry } from 'prom-client';
import { readPlan } from '../platform/PlatformDocument.js';
import { platformHttp } from '../platform/PlatformHttp.js';
import { serverBoundsOf } from '../src/daemon/DaemonConnections.js';
import { DIRECT_FLEET, entriesOfDocument } from '../src/daemon/direct/DirectDocument.js';
import { DirectEntry } from '../src/daemon/direct/DirectEntry.js';
import type { Runtime } from '../src/daemon/DaemonRuntime.js';
import type { MemberRecord } from '../src/protocol/index.js';
import { FUZZ_HOST } from './FuzzCaller.js';
import type { FuzzRoute } from './FuzzTypes.js';

const LOOPBACK = { host: '127.0.0.1', port: 0 } as const;

const SERVICE = 'desk';

/** Configuration of each route. */
const ROUTES: Readonly<Record<FuzzRoute, object>> = {
  ask: { type: 'idempotent' },
  hold: { type: 'non_idempotent' },
  stream: { type: 'streaming', resumable: true },
  fixed: { type: 'streaming', resumable: false },
};

const CONFIG = {
  index: 1,
  entries: entriesOfDocument(
    JSON.stringify({
      version: 1,
      routes: Object.entries(ROUTES).map(([name, kind]) => ({
        name,
        host: FUZZ_HOST,
        pathPrefix: `/${name}/`,
        timeoutMs: 1_000,
        service: SERVICE,
        maxAttempts: 2,
        ...kind,
      })),
      services: [{ name: SERVICE, maxConns: 64 }],
    }),
  ),
};

/** Retry budget that the few requests of a case never use up. */
const RETRIES = { ratio: 1, extra: 100, windowMs: 1_000 };

function memberRecordOf(port: number, i: number): MemberRecord {
  return {
    id: `e${i}`,
    role: 'endpoint',
    zone: 'z1',
    address: `127.0.0.1:${port}`,
    incarnation: 1,
    version: 1,
    status: 'serving',
    offer: { fleet: DIRECT_FLEET, service: SERVICE, slots: 8 },
  };
}

function runtimeOf(seed: number, faults: string[]): Runtime {
  const rng = xoroshiro128plus(seed);
  return {
    log: pino({ level: 'error' }, { write: (line: string) => faults.push(line) }),
    registry: new Registry(),
    rng,
    now: () => performance.now(),
    clocks: () => ({ monotonic: performance.now(), wall: Date.now() }),
    random: () => uniformFloat64(rng),
    incarnation: 1,
  };
}

/** A running entry. */
export interface FuzzEntry {
  readonly port: number;
  /** Lines that it has logged at level error or above. */
  readonly errorLines: readonly string[];
  close: () => void;
}

/** Starts an entry with endpoints at the given loopback ports. */
export async function startEntry(seed: number, ports: readonly number[]): Promise<FuzzEntry> {
  const faults: string[] = [];
  const stop = new AbortController();
  const cfg = {
    id: 'entry',
    zone: 'z1',
    callers: LOOPBACK,
    readiness: LOOPBACK,
    metrics: LOOPBACK,
    controls: () => [],
    revokeMs: 60_000,
    applyMs: 60_000,
    evacuateMs: null,
    graceMs: 1_000,
    retries: RETRIES,
  };
  const dialects = { http: platformHttp, documents: { readPlan } };
  const runtime = runtimeOf(seed, faults);
  const entry = new DirectEntry(cfg, dialects, runtime, stop.signal);
  const { state } = entry;
  const records = ports.map(memberRecordOf);
  state.onConfig(CONFIG);
  state.onNewest(CONFIG.index, runtime.clocks());
  state.onDirectory({ full: true, records });
  const server = await entry.serve(stop.signal, serverBoundsOf(runtime, null));
  return {
    port: (server.address() as AddressInfo).port,
    errorLines: faults,
    close: () => {
      stop.abort();
      server.close();
      server.closeAllConnections();
      const departed = records.map((record) => ({
        ...record,
        version: 2,
        status: 'gone' as const,
      }));
      state.onDirectory({ full: false, records: departed });
    },
  };
}
