import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { SoakProxy, type ProxyPort } from '../../SoakProxy.js';

const OUTSIDE = '127.99.0.1';

describe('soak proxy', () => {
  const proxy = new SoakProxy();
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.on('data', (data) => socket.write(data));
  });
  let port = 0;
  let proxyPort: ProxyPort;
  const sockets: Socket[] = [];

  /** Opens a connection through the proxy; `received` returns all data from it so far, as text. */
  async function open(): Promise<{ readonly socket: Socket; readonly received: () => string }> {
    const socket = connect({ host: OUTSIDE, port });
    sockets.push(socket);
    let text = '';
    socket.on('data', (data) => {
      text += data.toString();
    });
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    return { socket, received: () => text };
  }

  before(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    port = (server.address() as AddressInfo).port;
    proxyPort = { host: 'h', port, inside: '127.0.0.1', outside: OUTSIDE };
    await proxy.listen([proxyPort]);
  });

  after(() => {
    sockets.forEach((socket) => socket.destroy());
    proxy.close();
    server.close();
  });

  it('holds one direction back, and later forwards its data in order', async () => {
    const { socket, received } = await open();
    socket.write('a');
    await delay(50);
    proxy.setMode('h', 'cutInward');
    socket.write('b');
    await delay(100);
    assert.equal(received(), 'a');
    proxy.setMode('h', 'delay');
    await delay(20);
    proxy.setMode('h', 'pass');
    socket.write('c');
    await delay(250);
    assert.equal(received(), 'abc');
  });

  it('silences open connections for good, but not new ones', async () => {
    const { socket, received } = await open();
    await delay(50);
    proxy.silence('h');
    socket.write('a');
    const next = await open();
    next.socket.write('b');
    await delay(100);
    assert.equal(received(), '');
    assert.equal(next.received(), 'b');
  });

  // A crashed engine would look alive if its proxy still accepted connections.
  it('refuses new connections until it accepts them again, and keeps open ones', async () => {
    const { socket, received } = await open();
    await proxy.setRefusing(proxyPort, true);
    await assert.rejects(open(), { code: 'ECONNREFUSED' });
    socket.write('a');
    await Promise.all([proxy.setRefusing(proxyPort, false), proxy.setRefusing(proxyPort, false)]);
    const next = await open();
    next.socket.write('b');
    await delay(100);
    assert.equal(received(), 'a');
    assert.equal(next.received(), 'b');
  });

  it('resets the connections of a host', async () => {
    const { socket } = await open();
    await delay(50);
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    proxy.reset('h');
    await closed;
    assert.ok(socket.destroyed);
  });
});
