/** Runs one fake: `FakeMain engine|service IP:PORT [slots prefillMs tokenMs]`. */
import { FakeEngine } from './FakeEngine.js';
import { FakeService } from './FakeService.js';
import { parseAddress } from '../src/transport/index.js';

const [kind, listen = '', slots = '8', prefillMs = '20', tokenMs = '2'] = process.argv.slice(2);

interface FakeServer {
  listen: (port: number, host: string) => Promise<unknown>;
}

const FAKES_BY_KIND: Readonly<Record<string, () => FakeServer>> = {
  engine: () =>
    new FakeEngine({
      slots: Number(slots),
      prefillMs: Number(prefillMs),
      tokenMs: Number(tokenMs),
      // Exits as a process does that crashes on a request.
      // eslint-disable-next-line n/no-process-exit
      crash: () => process.exit(1),
    }),
  service: () => new FakeService(5),
};

const createFake = FAKES_BY_KIND[kind ?? ''];
const address = parseAddress(listen);
if (createFake === undefined || address === undefined) {
  throw new Error(`unknown kind "${kind ?? ''}" or invalid address "${listen}"`);
}
process.once('SIGTERM', () => {
  // Exits without waiting for answers in progress; the gate in front of it has to drain them first.
  // eslint-disable-next-line n/no-process-exit
  process.exit(0);
});
await createFake().listen(address.port, address.host);
