/** Composition root of role `entry`, which serves callers' requests. */
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import { Agent } from 'undici';
import { serveHttp } from '../transport/index.js';
import { DaemonBodies } from './DaemonBodies.js';
import { addCallerApi } from './DaemonEntryApi.js';
import { DaemonEntryState } from './DaemonEntryState.js';
import { DaemonHubLink, preferOwnZone } from './DaemonHubLink.js';
import { createApp } from './DaemonApp.js';
import { runEvery, type Runtime } from './DaemonRuntime.js';
import type { EntrySettings } from './DaemonSettings.js';

const TICK_MS = 250;

/** Maximum number of connections to one gate. Further calls wait for a free one, and count as in progress. */
const CONNECTIONS_PER_GATE = 256;

interface Cradle {
  readonly hubLink: DaemonHubLink;
  readonly state: DaemonEntryState;
  readonly agent: Agent;
}

function compose(cfg: EntrySettings, runtime: Runtime, signal: AbortSignal): Cradle {
  const { log } = runtime;
  const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY });
  container.register({
    state: asFunction(
      () =>
        new DaemonEntryState(cfg.id, cfg.zone, runtime, (update) =>
          container.cradle.hubLink.notify('quarantine', update),
        ),
    ).singleton(),
    agent: asValue(
      new Agent({
        connections: CONNECTIONS_PER_GATE,
        // No timeouts: the deadline of the request ends it, and a long pause between tokens isn't a fault.
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: 30_000,
        connect: { timeout: 1_000 },
      }),
    ),
    hubLink: asFunction(
      ({ state }: Cradle) =>
        new DaemonHubLink({
          targets: () => preferOwnZone(cfg.control, cfg['zone-control']),
          record: {
            id: cfg.id,
            role: 'entry',
            zone: cfg.zone,
            address: `${cfg.http.host}:${cfg.http.port}`,
            incarnation: runtime.incarnation,
            version: 0,
            status: 'serving',
          },
          log,
          signal,
          random: runtime.random,
          onConfig: (config) => state.onConfig(config),
          onDirectory: (delta) => state.onDirectory(delta),
          onQuarantine: (quarantineUpdate) => state.screening.onUpdate(quarantineUpdate),
          onAttached: () => state.screening.onAttached(),
        }),
    ).singleton(),
  });
  return container.cradle;
}

/**
 * Runs an entry process until the signal aborts, and then until no request is in progress or `drain-ms` has passed.
 */
export async function runEntry(
  cfg: EntrySettings,
  runtime: Runtime,
  signal: AbortSignal,
): Promise<void> {
  const stop = new AbortController();
  const { hubLink, state, agent } = compose(cfg, runtime, stop.signal);
  const app = createApp(runtime, () => {
    const ready = state.isReady && !signal.aborted;
    return { ready, reason: signal.aborted ? 'leaving' : state.readiness };
  });
  const bodies = new DaemonBodies(runtime, null);
  addCallerApi(app, { id: cfg.id, runtime, bodies, state, agent, hubLink });
  await serveHttp(app, cfg.http, stop.signal);
  runEvery(TICK_MS, stop.signal, () => state.tick());
  runtime.log.info({ event: 'listening', http: cfg.http }, 'entry process is listening');
  signal.addEventListener('abort', () => hubLink.announce({ status: 'leaving' }), { once: true });
  await state.waitUntilDrained(signal, cfg['drain-ms']);
  stop.abort();
  await agent.close();
}
