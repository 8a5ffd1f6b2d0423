import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { pino } from 'pino';
import type { ControlAddress } from '../../../protocol/index.js';
import { TransportLink } from '../../../transport/index.js';
import { DaemonHubLink } from '../../DaemonHubLink.js';

/** A control process that accepts every process, and reports some other control processes. */
async function startHub(
  name: string,
  zone: string,
  controls: readonly ControlAddress[],
  signal: AbortSignal,
): Promise<ControlAddress & { readonly links: readonly TransportLink[] }> {
  const links: TransportLink[] = [];
  const server = createServer((socket) => {
    const handlers = { 'member.hello': () => ({ accepted: true, leastIncarnation: 0, controls }) };
    const link = new TransportLink(socket, '', handlers);
    links.push(link);
    signal.addEventListener('abort', () => link.close());
  });
  signal.addEventListener('abort', () => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { name, zone, address: { host: '127.0.0.1', port }, links };
}

describe('DaemonHubLink', () => {
  let stop = new AbortController();

  afterEach(() => {
    stop.abort();
    stop = new AbortController();
  });

  // Guards against a process that starts before the control process of its AZ, stays attached to another AZ, and is
  // lost when its AZ is cut off.
  it('moves to the control process of its AZ when that starts later', async () => {
    const attachedTo: string[] = [];
    const log = pino(
      { level: 'info' },
      {
        write: (line: string) => {
          const { event, to } = JSON.parse(line) as { event: string; to: string };
          if (event === 'attached') {
            attachedTo.push(to);
          }
        },
      },
    );
    const far = await startHub('far', 'z2', [], stop.signal);
    const hubLink = new DaemonHubLink({
      targets: () => [far],
      record: {
        id: 'entry-1',
        role: 'entry',
        zone: 'z1',
        address: '127.0.0.1:1',
        incarnation: 1,
        version: 0,
        status: 'serving',
      },
      log,
      signal: stop.signal,
      random: () => 0,
      onConfig: () => undefined,
      onDirectory: () => undefined,
    });
    while (!hubLink.isAttached) {
      // eslint-disable-next-line no-await-in-loop
      await delay(10);
    }
    const near = await startHub('near', 'z1', [], stop.signal);
    far.links.forEach((link) =>
      link.notify(
        'controls',
        [far, near].map(({ links, ...rest }) => rest),
      ),
    );
    while (attachedTo.at(-1) !== 'near') {
      // eslint-disable-next-line no-await-in-loop
      await delay(50);
    }
    assert.deepEqual(attachedTo, ['far', 'near']);
  });
});
