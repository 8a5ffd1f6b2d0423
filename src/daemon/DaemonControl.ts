/** Composition root of role `control`: a replica of the log, and hub of its zone's processes. */
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import type { Manifest, SubmitReply } from '../protocol/index.js';
import { StateDataFolder } from '../state/index.js';
import { serveHttp, serveLinks, type LinkHandlers } from '../transport/index.js';
import { addAdminApi, controlStatus, type ControlStatus } from './DaemonAdmin.js';
import { DaemonConsensus } from './DaemonConsensus.js';
import { DaemonControlPeers } from './DaemonControlPeers.js';
import {
  DaemonControlService,
  replicaName,
  type LeaseAsk,
  type LeaseReply,
} from './DaemonControlService.js';
import { DaemonHub } from './DaemonHub.js';
import { createApp, every, type Runtime } from './DaemonRuntime.js';
import type { ControlSettings } from './DaemonSettings.js';
import { DaemonTestSwitch } from './DaemonTestSwitch.js';

const TICK_MS = 50;
const HUB_TICK_MS = 500;
const FORM_MS = 500;

interface Cradle {
  readonly cfg: ControlSettings;
  readonly runtime: Runtime;
  readonly signal: AbortSignal;
  readonly folder: StateDataFolder;
  readonly testSwitch: DaemonTestSwitch;
  readonly peers: DaemonControlPeers;
  readonly hub: DaemonHub;
  readonly consensus: DaemonConsensus;
  readonly service: DaemonControlService;
}

function compose(
  cfg: ControlSettings,
  runtime: Runtime,
  folder: StateDataFolder,
  signal: AbortSignal,
): Cradle {
  const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY });
  container.register({
    cfg: asValue(cfg),
    runtime: asValue(runtime),
    signal: asValue(signal),
    folder: asValue(folder),
    testSwitch: asFunction(
      () => new DaemonTestSwitch(cfg['test-switch'], cfg['test-cut']),
    ).singleton(),
    peers: asFunction(
      ({ testSwitch }: Cradle) =>
        new DaemonControlPeers({
          self: cfg.id,
          targets: cfg.control,
          consensus: () => container.cradle.consensus,
          hub: () => container.cradle.hub,
          log: runtime.log,
          signal,
          random: runtime.random,
          isCut: testSwitch.isCut,
        }),
    ).singleton(),
    hub: asFunction(
      ({ peers }: Cradle) =>
        new DaemonHub({
          log: runtime.log,
          now: runtime.now,
          publish: (records) => peers.publish(records),
        }),
    ).singleton(),
    consensus: asFunction(
      ({ peers, hub }: Cradle) =>
        new DaemonConsensus({
          folder,
          compactEvery: cfg['compact-every'],
          log: runtime.log,
          now: runtime.now,
          rng: runtime.rng,
          send: (to, message) => peers.send(to, message),
          onApplied: (state) => hub.onControl(state),
        }),
    ).singleton(),
    service: asFunction(
      ({ consensus }: Cradle) => new DaemonControlService(consensus, runtime.log, runtime.now),
    ).singleton(),
  });
  return container.cradle;
}

/** Calls a service at the leader, wherever it is. Rejects if there is none or it is out of reach. */
async function atLeader<T>(
  { consensus, peers }: Cradle,
  method: string,
  params: unknown,
  local: () => Promise<T>,
): Promise<T> {
  const { role, leader } = consensus.state;
  if (role === 'leader') {
    return local();
  }
  if (leader === null) {
    throw new Error('no leader');
  }
  return (await peers.request(replicaName(leader), method, params)) as T;
}

function leaderHandlers({ service, consensus }: Cradle): LinkHandlers {
  return {
    'leader.submit': async (params) => service.submit(params as Manifest),
    'leader.lease': async (params) => service.askLease(params as LeaseAsk),
    'leader.join': async (params) => service.join((params as { replica: string }).replica),
    'leader.readIndex': async () => consensus.readIndex(),
  };
}

async function submitAnywhere(cradle: Cradle, manifest: Manifest): Promise<SubmitReply> {
  try {
    return await atLeader(cradle, 'leader.submit', manifest, async () =>
      cradle.service.submit(manifest),
    );
  } catch (err) {
    const reason = `${(err as Error).message}; submit again to learn the outcome`;
    return { result: 'unavailable', reason };
  }
}

function forwardHandlers(cradle: Cradle): LinkHandlers {
  const { cfg, service, consensus, hub } = cradle;
  return {
    'lease.ask': async (params): Promise<LeaseReply> => {
      const ask = params as LeaseAsk;
      return atLeader(cradle, 'leader.lease', ask, async () => service.askLease(ask)).catch(
        (): LeaseReply => ({ result: 'failed' }),
      );
    },
    'control.join': async (params) => {
      const { replica } = params as { replica: string };
      return atLeader(cradle, 'leader.join', params, async () => service.join(replica));
    },
    'control.status': () => controlStatus(cfg.id, consensus, hub),
  };
}

/** Confirms with the leader that this replica holds all that was accepted. */
async function confirm(cradle: Cradle): Promise<void> {
  const { consensus, hub } = cradle;
  if (hub.rollout.phase === 'checked') {
    return;
  }
  const index = await atLeader<number | null>(cradle, 'leader.readIndex', {}, async () =>
    consensus.readIndex(),
  );
  if (index !== null && consensus.control.index >= index) {
    hub.onControl(consensus.control);
    hub.onConfirmed();
  }
}

function runTasks(cradle: Cradle): void {
  const { consensus, hub, peers, service, runtime, signal } = cradle;
  const quietly = (task: Promise<void>): void => {
    task.catch((err: unknown) => runtime.log.debug({ err: (err as Error).message }, 'not yet'));
  };
  hub.onControl(consensus.control);
  every(TICK_MS, signal, () => {
    if (consensus.isFormed) {
      consensus.post({ type: 'tick' });
    }
    consensus.expire();
  });
  every(HUB_TICK_MS, signal, () => {
    hub.tick();
    quietly(confirm(cradle));
  });
  every(FORM_MS, signal, () => {
    quietly(peers.form());
    quietly(service.tendMembers());
  });
}

/** Runs a control process until the signal. */
export async function runControl(
  cfg: ControlSettings,
  runtime: Runtime,
  signal: AbortSignal,
): Promise<void> {
  const folder = await StateDataFolder.open(cfg['data-folder'], cfg.id);
  const cradle = compose(cfg, runtime, folder, signal);
  const { consensus, hub, peers, testSwitch } = cradle;
  await serveLinks({
    address: cfg.link,
    handlers: {
      ...peers.handlers,
      ...hub.handlers,
      ...leaderHandlers(cradle),
      ...forwardHandlers(cradle),
    },
    signal,
    isCut: testSwitch.isCut,
    onClosed: (link) => hub.onClosed(link),
  });
  runTasks(cradle);
  const app = createApp(runtime, () => ({
    ready: hub.rollout.phase !== 'checking',
    reason: hub.rollout.phase,
  }));
  testSwitch.addApi(app);
  addAdminApi(app, {
    name: cfg.id,
    consensus,
    hub,
    submit: async (manifest) => submitAnywhere(cradle, manifest),
    controls: async () => [
      controlStatus(cfg.id, consensus, hub),
      ...((await peers.requestAll('control.status', {})) as readonly ControlStatus[]),
    ],
  });
  await serveHttp(app, cfg.http, signal);
  runtime.log.info({ event: 'listening', replica: folder.identity.replica }, 'control is up');
}
