import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { getEventListeners, once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import {
  HEARTBEAT_METHOD,
  LinkTimeoutError,
  TransportLink,
  TransportLinkClient,
  type LinkTarget,
} from '../../index.js';

/** Listens on a free port and returns it. */
async function listenOn(server: Server): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** A peer that answers pings, or one that is frozen: its kernel accepts connections, but nothing is read from them. */
async function startPeer(isFrozen: () => boolean, accepted: () => void, signal: AbortSignal) {
  const server = createServer((socket) => {
    accepted();
    const link = new TransportLink(socket, '', {}, isFrozen);
    signal.addEventListener('abort', () => link.close());
  });
  signal.addEventListener('abort', () => server.close());
  const port = await listenOn(server);
  return { name: `${port}`, address: { host: '127.0.0.1', port } };
}

/** Starts several peers, each frozen while `isFrozen` returns true for its index. */
async function startPeers(
  count: number,
  isFrozen: (i: number) => boolean,
  signal: AbortSignal,
): Promise<readonly LinkTarget[]> {
  const places = Array.from({ length: count }, (_none, i) => i);
  return Promise.all(
    places.map(async (i) =>
      startPeer(
        () => isFrozen(i),
        () => undefined,
        signal,
      ),
    ),
  );
}

/** A client of fixed targets, or of targets that are determined anew for each connection. */
function startClient(
  targets: readonly LinkTarget[] | (() => readonly LinkTarget[]),
  signal: AbortSignal,
  onUp: (link: TransportLink) => Promise<void> = async () => undefined,
): TransportLinkClient {
  return new TransportLinkClient({
    targets: typeof targets === 'function' ? targets : () => targets,
    handlers: {},
    signal,
    jitter: () => 0,
    onUp,
  });
}

/** A target behind a proxy that delays all bytes. */
async function startDelay(
  target: LinkTarget,
  delayMs: number,
  signal: AbortSignal,
): Promise<LinkTarget> {
  const pass = (from: Socket, to: Socket): void => {
    from.on('data', (bytes) => setTimeout(() => to.write(bytes), delayMs));
    from.on('error', () => undefined);
    from.on('close', () => to.destroy());
  };
  const server = createServer((socket) => {
    const onward = connect(target.address);
    pass(socket, onward);
    pass(onward, socket);
  });
  signal.addEventListener('abort', () => server.close());
  const port = await listenOn(server);
  return { name: `slow ${target.name}`, address: { host: '127.0.0.1', port } };
}

/** Returns a function that forces a garbage collection, as they happen at a start or under load. */
function exposeGc(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

const LISTEN_ONLY = `require('net').createServer().listen(
  { port: 0, host: '127.0.0.1', backlog: 1 }, function () { console.log(this.address().port); })`;

/** Connections that fill the accept queue of a host that accepts none. */
const BACKLOG_CONNECTIONS = 4;

/** A host that answers no attempt to connect, like one without power: it is stopped and its accept queue is full. */
async function startSilentHost(signal: AbortSignal): Promise<LinkTarget> {
  const child = spawn(process.execPath, ['-e', LISTEN_ONLY], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  const port = Number(line.toString());
  child.kill('SIGSTOP');
  const sockets = Array.from({ length: BACKLOG_CONNECTIONS }, () =>
    connect({ host: '127.0.0.1', port }),
  );
  sockets.forEach((socket) => socket.on('error', () => undefined));
  signal.addEventListener('abort', () => {
    sockets.forEach((socket) => socket.destroy());
    child.kill('SIGKILL');
  });
  await delay(100);
  return { name: 'silent', address: { host: '127.0.0.1', port } };
}

/** A host that answers no attempt to connect, and a peer that responds. */
async function startSilentAndOther(
  signal: AbortSignal,
): Promise<readonly [LinkTarget, LinkTarget]> {
  const silent = await startSilentHost(signal);
  const other = await startPeer(
    () => false,
    () => undefined,
    signal,
  );
  return [silent, other];
}

async function waitFor(done: () => boolean, timeoutMs = Infinity): Promise<void> {
  const until = performance.now() + timeoutMs;
  while (!done()) {
    assert.ok(performance.now() < until, 'not in time');
    // eslint-disable-next-line no-await-in-loop
    await delay(10);
  }
}

// A hub is a control process that other processes are linked to; here a peer stands in for it.
describe('TransportLinkClient', () => {
  // All hosts lose power, and one is up again shortly before the next: its connection attempt there never gets an
  // answer. Garbage collections are frequent at a start, and would remove a timeout that is only weakly referenced.
  // Two control hosts of three that can't reach each other elect no leader, so no configuration can be read and
  // callers are refused until the kernel's own timeout.
  it('times out on a host that never answers, despite garbage collections', async () => {
    const stop = new AbortController();
    const [silent, other] = await startSilentAndOther(stop.signal);
    const collect = exposeGc();
    const timer = setInterval(collect, 20);
    const client = startClient([silent, other], stop.signal);
    await waitFor(() => client.link?.target === other.name, 20_000).finally(() => {
      clearInterval(timer);
      stop.abort();
    });
  });

  // After a power loss, a process must not wait for a hub without power while others respond.
  it('links to another target while one has no power yet', async () => {
    const stop = new AbortController();
    const [silent, other] = await startSilentAndOther(stop.signal);
    const failed: string[] = [];
    let failedBefore: number | null = null;
    const client = new TransportLinkClient({
      targets: () => [silent, other],
      handlers: {},
      signal: stop.signal,
      jitter: () => 0,
      onUp: async () => {
        failedBefore ??= failed.length;
      },
      onFailure: ({ target }) => failed.push(target),
    });
    await waitFor(() => client.link?.target === other.name);
    stop.abort();
    assert.equal(failedBefore, 0);
  });

  // A request to a frozen hub times out. Timers fire up to a millisecond early, so callers that compare clocks to
  // detect the timeout would take one unresponsive hub in four for one that has answered with an error. They would
  // ask it again, and an older configuration would stay in force a second longer.
  it('rejects each unanswered request with a timeout error', async () => {
    const stop = new AbortController();
    const peer = await startPeer(
      () => true,
      () => undefined,
      stop.signal,
    );
    const client = startClient([peer], stop.signal);
    await waitFor(() => client.link !== null);
    const requests = Array.from({ length: 40 }, async (_none, i) =>
      client.ping(50 + i / 7).then(
        () => null,
        (err: unknown) => err,
      ),
    );
    const errors = await Promise.all(requests);
    stop.abort();
    assert.ok(errors.every((err) => err instanceof LinkTimeoutError));
  });

  // The hub of a process and the next one freeze. Tried one after the other, they would cost a second or more
  // each, while callers are served with an older configuration. The third one is found concurrently, and the
  // first link stays open until then.
  it('finds the one target that responds while two are frozen', async () => {
    const stop = new AbortController();
    let frozen = false;
    const accepted = [0, 0, 0];
    const peers = await Promise.all(
      accepted.map(async (_none, i) =>
        startPeer(
          () => frozen && i < 2,
          () => {
            accepted[i] = (accepted[i] ?? 0) + 1;
          },
          stop.signal,
        ),
      ),
    );
    const linked: (string | undefined)[] = [];
    const client = startClient(peers, stop.signal, async (link) => {
      linked.push(link.target);
    });
    await waitFor(() => client.link !== null);
    frozen = true;
    client.searchOther();
    assert.equal(client.link?.target, peers[0]?.name);
    await waitFor(() => client.link?.target === peers[2]?.name);
    stop.abort();
    assert.deepEqual(linked, [peers[0]?.name, peers[2]?.name]);
    assert.deepEqual(accepted, [1, 1, 1]);
  });

  // The unresponsive link ends during the search. If the search ended with it, a new one would start with the
  // targets in order, the unreachable ones first.
  it('continues the search if the link ends meanwhile', async () => {
    const stop = new AbortController();
    let frozen = false;
    const links: TransportLink[] = [];
    const peers = await startPeers(3, (i) => frozen && i < 2, stop.signal);
    const client = startClient(peers, stop.signal, async (link) => {
      links.push(link);
    });
    await waitFor(() => client.link !== null);
    frozen = true;
    client.searchOther();
    links[0]?.close();
    await waitFor(() => links.length > 1);
    stop.abort();
    assert.deepEqual(
      links.map(({ target }) => target),
      [peers[0]?.name, peers[2]?.name],
    );
  });

  // A link was only slow, and its peer responds during the search for another target: the client keeps the link.
  it('keeps its link if the search is stopped', async () => {
    const stop = new AbortController();
    const peers = await startPeers(2, () => false, stop.signal);
    const client = startClient(peers, stop.signal);
    await waitFor(() => client.link !== null);
    const { link } = client;
    client.searchOther();
    client.stopSearch();
    await delay(100);
    assert.equal(client.link, link);
    stop.abort();
  });

  // A hub has restarted and answers pings slowly. Meanwhile the process's current hub answers all requests, and each
  // answer stops a search for another target. If that stopped the return to the hub of the own availability zone as
  // well, a later cut between zones would find the process linked to the wrong zone.
  it('returns to the first target though the current one responds', async () => {
    const stop = new AbortController();
    const [first, second] = await startPeers(2, () => false, stop.signal);
    assert.ok(first !== undefined && second !== undefined);
    const slow = await startDelay(first, 60, stop.signal);
    let isBack = false;
    const client = startClient(() => (isBack ? [slow, second] : [second]), stop.signal);
    await waitFor(() => client.link !== null);
    isBack = true;
    const answers = setInterval(() => client.stopSearch(), 50);
    await waitFor(() => client.link?.target === slow.name, 8_000).finally(() => {
      clearInterval(answers);
      stop.abort();
    });
  });

  // A hub was unresponsive for a moment, and another one is registering the process when the first responds again.
  // Stopping the search there would leave the process linked to the old hub while the new one has registered it, and
  // would later report it gone to all.
  it('moves to a target that is registering it, though the first responds again', async () => {
    const stop = new AbortController();
    const joined: string[] = [];
    const peers = await startPeers(2, () => false, stop.signal);
    const client = startClient(peers, stop.signal, async (link) => {
      joined.push(link.target);
      await link.request(HEARTBEAT_METHOD, {});
      if (joined.length > 1) {
        client.stopSearch();
      }
    });
    await waitFor(() => client.link !== null);
    client.searchOther();
    await waitFor(() => joined.length > 1);
    await waitFor(() => client.link?.target === peers[1]?.name, 2_000).finally(() => stop.abort());
  });

  // The process is returning to the slow hub of its availability zone when its current hub stops responding. The
  // search for another target must not wait until the return fails.
  it('searches for another target though a return is in progress', async () => {
    const stop = new AbortController();
    const [first, second, third] = await startPeers(3, () => false, stop.signal);
    assert.ok(first !== undefined && second !== undefined && third !== undefined);
    const slow = await startDelay(first, 900, stop.signal);
    let isBack = false;
    let asked = 0;
    const client = startClient(() => {
      asked += Number(isBack);
      return isBack ? [slow, second, third] : [second];
    }, stop.signal);
    await waitFor(() => client.link !== null);
    isBack = true;
    await waitFor(() => asked > 0);
    client.searchOther();
    await waitFor(() => client.link?.target === third.name, 800).finally(() => stop.abort());
  });

  // A control host stays frozen, but its kernel still accepts connections. If each new link counted as contact, the
  // host would remain a voter, and the next lost disk would leave no quorum.
  it('does not take accepted connections of a frozen peer for contact', async () => {
    const stop = new AbortController();
    let links = 0;
    const peer = await startPeer(
      () => true,
      () => undefined,
      stop.signal,
    );
    const client = startClient([peer], stop.signal, async (link) => {
      links += 1;
      setTimeout(() => link.close(), 20);
    });
    const madeAt = client.lastReceivedAt;
    await waitFor(() => links > 2);
    assert.equal(client.lastReceivedAt, madeAt);
    stop.abort();
  });

  // The peer closes each link soon after it came up, as if it restarted again and again. If ended links
  // were kept until the client's signal aborts, the memory of a process that runs for weeks would grow
  // with every reconnect.
  it('releases links that have ended', async () => {
    let accepted = 0;
    const server = createServer((socket) => {
      accepted += 1;
      setTimeout(() => socket.destroy(), 5);
    });
    const port = await listenOn(server);
    const stop = new AbortController();
    const peer = { name: 'peer', address: { host: '127.0.0.1', port } };
    const client = startClient([peer], stop.signal);
    while (accepted < 8) {
      // eslint-disable-next-line no-await-in-loop
      await delay(20);
    }
    const kept = getEventListeners(stop.signal, 'abort').length;
    stop.abort();
    server.close();
    while (client.link !== null) {
      // eslint-disable-next-line no-await-in-loop
      await delay(20);
    }
    assert.ok(kept <= 3, `${kept} listeners`);
  });

  // The hub of a process is cut off, and its link is closed after two seconds without traffic, while a newer
  // configuration has been accepted elsewhere. Connecting to the unreachable hub first would block for another
  // second and a half, and callers would be served with the older configuration all that time.
  it('tries another target first after a link timed out', async () => {
    const order: string[] = [];
    const sockets: Socket[] = [];
    const servers: Server[] = [];
    const listen = async (name: string): Promise<number> => {
      const server = createServer((socket) => {
        order.push(name);
        sockets.push(socket);
        socket.on('error', () => undefined);
      });
      servers.push(server);
      return listenOn(server);
    };
    const ports = [await listen('silent'), await listen('other')];
    const stop = new AbortController();
    const targets = ports.map((port, i) => ({
      name: `${i}`,
      address: { host: '127.0.0.1', port },
    }));
    const client = startClient(targets, stop.signal);
    while (order.length < 2) {
      // eslint-disable-next-line no-await-in-loop
      await delay(20);
    }
    stop.abort();
    sockets.forEach((socket) => socket.destroy());
    servers.forEach((server) => server.close());
    assert.deepEqual(order.slice(0, 2), ['silent', 'other']);
    assert.ok(client);
  });
});
