/** Composition root of role `control`, configured by the product's own settings. */
import { regionsOf } from '../state/index.js';
import { serveHttp } from '../transport/index.js';
import { addAdminApi } from './DaemonAdmin.js';
import { DaemonBodies } from './DaemonBodies.js';
import { addEvacuationApi } from './DaemonEvacuationApi.js';
import { addQuarantineApi } from './DaemonQuarantineApi.js';
import { startControlCore } from './DaemonControlCore.js';
import { createApp } from './DaemonApp.js';
import { waitForAbort, type Runtime } from './DaemonRuntime.js';
import type { ControlSettings } from './DaemonSettings.js';
import { DaemonTestSwitch } from './DaemonTestSwitch.js';

/**
 * How many disks may be lost at the same time: one, since each AZ has one control host and one AZ at a time may be
 * lost.
 */
const TOLERATED_DISK_LOSSES = 1;

/** Starts a control process, which stops when the signal aborts. */
export async function runControl(
  cfg: ControlSettings,
  runtime: Runtime,
  signal: AbortSignal,
): Promise<void> {
  const testSwitch = new DaemonTestSwitch(cfg['test-switch'], cfg['test-cut']);
  const stop = new AbortController();
  const core = await startControlCore(
    {
      id: cfg.id,
      zone: cfg.zone,
      link: cfg.link,
      bind: cfg.link,
      dataFolder: cfg['data-folder'],
      compactEvery: cfg['compact-every'],
      lossesBorne: TOLERATED_DISK_LOSSES,
      founders: cfg.control.map(({ name }) => name),
      targets: () => cfg.control,
      locate: (name) => cfg.control.find((target) => target.name === name)?.address,
      testSwitch,
      retries: null,
    },
    runtime,
    stop.signal,
  );
  const { hub, consensus } = core;
  const app = createApp(runtime, () => ({
    ready: hub.rollout.phase !== 'checking',
    reason: hub.rollout.phase,
  }));
  testSwitch.addApi(app);
  addQuarantineApi(app, hub.quarantine);
  addEvacuationApi(app, {
    core,
    zones: () => [...regionsOf(consensus.control.config.entries).keys()],
  });
  addAdminApi(app, {
    name: cfg.id,
    bodies: new DaemonBodies(runtime, null),
    consensus,
    hub,
    submit: async (manifest) => core.submit(manifest),
    controls: async () => core.status(),
  });
  await serveHttp(app, cfg.http, stop.signal);
  runtime.log.info({ event: 'listening', replica: core.replica }, 'control process is listening');
  await waitForAbort(signal);
  await core.leave();
  stop.abort();
}
