/** Composition root of role `endpoint`: the gate in front of one engine. */
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import type { Dispatcher } from 'undici';
import type { EndpointOffer } from '../protocol/index.js';
import { openAgent, probeUrl, serveHttp } from '../transport/index.js';
import { DaemonCoordinator } from './DaemonCoordinator.js';
import { DaemonGate } from './DaemonGate.js';
import { DaemonHubLink, preferOwnZone } from './DaemonHubLink.js';
import { createApp } from './DaemonApp.js';
import { DaemonBodies } from './DaemonBodies.js';
import { waitForAbort, runEvery, type Runtime } from './DaemonRuntime.js';
import type { EndpointSettings } from './DaemonSettings.js';

const TICK_MS = 500;

/** Timeout for connecting to the engine, ms. */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * How long a leaving process keeps listening with nothing in progress, ms, so that late attempts get an explicit
 * refusal instead of a closed port.
 */
const LINGER_MS = 1_500;

interface Cradle {
  readonly agent: Dispatcher;
  readonly hubLink: DaemonHubLink;
  readonly gate: DaemonGate;
  readonly coordinator: DaemonCoordinator | null;
}

function offerOf(cfg: EndpointSettings): EndpointOffer {
  const { fleet, service, slots, group, ranks } = cfg;
  return {
    fleet,
    service,
    slots,
    ...(group === undefined || ranks === undefined ? {} : { group, ranks }),
  };
}

function compose(
  cfg: EndpointSettings,
  runtime: Runtime,
  signal: AbortSignal,
  onDrained: () => void,
): Cradle {
  const { log, now } = runtime;
  const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY });
  container.register({
    agent: asValue(openAgent(CONNECT_TIMEOUT_MS)),
    hubLink: asFunction(
      () =>
        new DaemonHubLink({
          targets: () => preferOwnZone(cfg.control, cfg['zone-control']),
          record: {
            id: cfg.id,
            role: 'endpoint',
            zone: cfg.zone,
            address: `${cfg.http.host}:${cfg.http.port}`,
            incarnation: runtime.incarnation,
            version: 0,
            status: 'serving',
            offer: offerOf(cfg),
          },
          log,
          signal,
          random: runtime.random,
          onConfig: (config) => {
            const { gate, hubLink } = container.cradle;
            gate.setIncarnation(hubLink.record.incarnation);
            gate.step({ type: 'ready' });
            log.info({ event: 'config', index: config.index }, 'configuration in force');
          },
          onDirectory: () => undefined,
        }),
    ).singleton(),
    gate: asFunction(
      ({ agent, hubLink }: Cradle) =>
        new DaemonGate({
          bodies: new DaemonBodies(runtime, null),
          runtime,
          agent,
          engine: cfg.engine,
          probe: () => probeUrl(cfg.engine),
          slots: cfg.slots,
          record: () => hubLink.record,
          onDrained,
        }),
    ).singleton(),
    coordinator: asFunction(({ hubLink }: Cradle) =>
      cfg.group === undefined
        ? null
        : new DaemonCoordinator({
            group: cfg.group,
            hubLink,
            log,
            now,
          }),
    ).singleton(),
  });
  return container.cradle;
}

/** Announces that the process is leaving, refuses new attempts, and waits until `drained` resolves. */
async function leave(
  { hubLink, gate }: Cradle,
  runtime: Runtime,
  drained: Promise<void>,
): Promise<void> {
  hubLink.announce({ status: 'leaving' });
  const report = setInterval(() => {
    const waitsFor = [...gate.state.running].map(([key, { customer }]) => `${key} (${customer})`);
    runtime.log.info({ event: 'draining', waitsFor }, 'waiting for attempts in progress');
  }, 1_000);
  gate.step({ type: 'leave' });
  await drained;
  clearInterval(report);
  await new Promise((resolve) => {
    setTimeout(resolve, LINGER_MS);
  });
}

/**
 * Runs an endpoint process until the signal aborts, and then until its attempts have ended or `drain-ms` has passed.
 */
export async function runEndpoint(
  cfg: EndpointSettings,
  runtime: Runtime,
  signal: AbortSignal,
): Promise<void> {
  const stop = new AbortController();
  let onDrained: () => void = () => undefined;
  const drained = new Promise<void>((resolve) => {
    onDrained = resolve;
  });
  const cradle = compose(cfg, runtime, stop.signal, () => onDrained());
  const { gate, hubLink, coordinator } = cradle;
  const app = createApp(runtime, () => ({
    ready: gate.state.phase === 'serving',
    reason: gate.state.phase,
  }));
  gate.addApi(app);
  await serveHttp(app, cfg.http, stop.signal);
  runEvery(TICK_MS, stop.signal, () => {
    gate.step({ type: 'tick' });
    if (hubLink.isAttached) {
      coordinator?.tick();
    }
  });
  runtime.log.info({ event: 'listening', http: cfg.http }, 'endpoint process is listening');
  await waitForAbort(signal);
  const drainTimeout = new Promise<void>((resolve) => {
    setTimeout(resolve, cfg['drain-ms']).unref();
  });
  await leave(cradle, runtime, Promise.race([drained, drainTimeout]));
  stop.abort();
}
