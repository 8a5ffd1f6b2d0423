import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { probeAddress } from '../../TransportProbe.js';

/** Runs a task while a server passes each of its connections to `onSocket`. */
async function withServer(
  host: string,
  onSocket: (socket: Socket) => void,
  task: (address: { host: string; port: number }) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address() as { port: number };
  await task({ host, port });
  sockets.forEach((socket) => socket.destroy());
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
}

describe('probeAddress', () => {
  it('distinguishes a listening process from one that has ended', async () => {
    let closedAddress = { host: '127.0.0.1', port: 0 };
    await withServer(
      '127.0.0.1',
      () => undefined,
      async (address) => {
        assert.equal(await probeAddress(address).result, 'open');
        closedAddress = address;
      },
    );
    assert.equal(await probeAddress(closedAddress).result, 'refused');
  });

  // A proxy in front of a process that has ended accepts the connection; under load it needs a tenth of a second to
  // find no process and to close it. Taken for a running process, it would clear the request that caused the crash.
  it('is unknown if the connection is accepted and closed', async () => {
    const closings: readonly ((socket: Socket) => void)[] = [
      (socket) => socket.destroy(),
      (socket) => setTimeout(() => socket.destroy(), 100),
    ];
    await Promise.all(
      closings.map(async (close) =>
        withServer('127.0.0.1', close, async (address) =>
          assert.equal(await probeAddress(address).result, 'unknown'),
        ),
      ),
    );
  });

  it('settles before the result if the connection is accepted', async () => {
    await withServer(
      '127.0.0.1',
      () => undefined,
      async (address) => {
        const { result, settled } = probeAddress(address);
        assert.equal(await Promise.race([settled.then(() => 'settled'), result]), 'settled');
        assert.equal(await result, 'open');
      },
    );
  });

  // A process that ends closes its connections first and its listening socket a moment later. In between, the kernel
  // accepts and resets a probe's connection. The end must still be detected.
  it('detects the end of a process that is still ending', async () => {
    const server = createServer((socket) => {
      socket.destroy();
      server.close();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as { port: number };
    assert.equal(await probeAddress({ host: '127.0.0.1', port }).result, 'refused');
  });
});
