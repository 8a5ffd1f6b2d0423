/** Runs one stand-in: `FakeMain engine|service PORT [slots prefillMs tokenMs]`. */
import { FakeEngine } from './FakeEngine.js';
import { FakeService } from './FakeService.js';

const [kind, port = '0', slots = '8', prefillMs = '20', tokenMs = '2'] = process.argv.slice(2);

const KINDS: Readonly<Record<string, () => { listen: (port: number) => Promise<unknown> }>> = {
  engine: () =>
    new FakeEngine({
      slots: Number(slots),
      prefillMs: Number(prefillMs),
      tokenMs: Number(tokenMs),
      // It dies as a process does that meets a request it can't bear.
      // eslint-disable-next-line n/no-process-exit
      end: () => process.exit(1),
    }),
  service: () => new FakeService(5),
};

const make = KINDS[kind ?? ''];
if (make === undefined) {
  throw new Error(`no stand-in "${kind ?? ''}"`);
}
process.once('SIGTERM', () => {
  // A stand-in ends at once: what its open answers need is the gate's business.
  // eslint-disable-next-line n/no-process-exit
  process.exit(0);
});
await make().listen(Number(port));
