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

/** Listens on a free port; the port. */
async function listenOn(server: Server): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** A peer that answers signs of life, or is frozen: its kernel takes connections, nobody reads them. */
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

/** Several peers side by side, each frozen when its place says so. */
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

/** A client of some targets, or of those that are asked for again with each connection. */
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

/** A target behind a path that delays all bytes. */
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

/** Forces garbage collections, which a process that starts or works hard has by itself. */
function exposeGc(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

const LISTEN_ONLY = `require('net').createServer().listen(
  { port: 0, host: '127.0.0.1', backlog: 1 }, function () { console.log(this.address().port); })`;

/** Connections that fill the queue of a host that takes none from it. */
const BACKLOG_CONNECTIONS = 4;

/** A host that answers no attempt to connect, as one without power: its queue is full, and it stands still. */
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

/** A host that answers no attempt to connect, and one that answers. */
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

describe('TransportLinkClient', () => {
  // All hosts lose power, and one is up again a moment before the next: its connection there gets no answer,
  // for good. The limit on the attempt was held by nothing but itself and went with the first garbage
  // collection, as there are many at a start. Two control hosts of three that can't reach each other elect no
  // leader; no configuration can be read, and callers are refused for as long as the system's own limit lasts.
  it('gives up a host that never answers, whatever is collected meanwhile', async () => {
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

  // Guards against: after a power loss a process waits for the one hub that is still dark while others answer.
  it('joins another target beside one that has no power yet', async () => {
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

  // A hub freezes, and a question to it runs into its limit. Whoever asked compares clocks to see whether it
  // was the limit; timers fire up to a millisecond early, so that one silent hub in four counted as one that
  // had answered with an error, was asked again, and an older configuration was in force a second longer.
  it('says of each question without an answer that time ran out', async () => {
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

  // The hub of a process freezes, and so does the next one. Given up one after the other they cost a second
  // or more each, while callers are served by an older configuration. The third is found beside them, and
  // the first link stays until then.
  it('finds the one target that answers beside two that are frozen', async () => {
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

  // The silent link ends while the search is under way. Given up with it, the search would begin anew with one
  // target after the other, the dead ones first.
  it('goes on searching when the link ends meanwhile', async () => {
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

  // A link was slow, not dead, and its peer answers while another is looked for: the process stays.
  it('stays where it is when the search is ended', async () => {
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

  // A hub restarted and is back; it is slow to give its sign of life. Meanwhile the hub that took the process
  // in answers each question, and each good answer ends a search for another one. Ended with it, the return
  // to the own AZ's hub would never be made, and a cut between AZs would find the process at the wrong side.
  it('returns to the first target though the present one is of use', async () => {
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

  // A hub went silent for a moment, and another is taking the process in when the first answers again. Ended
  // there, the search would leave the process with the old hub while the new one counts it as its own, and
  // calls it gone for all later on.
  it('moves to the target that is taking it in, though the first is of use again', async () => {
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

  // The process is on its way back to the hub of its AZ, which is slow, when the present hub goes silent. The
  // search for any other must not wait for the return to be given up.
  it('looks for another target though a return is under way', async () => {
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

  // A control host is frozen for good; its kernel still takes connections. Counted as heard with each new
  // link, it would keep its vote, and the next lost disk would leave no quorum.
  it('does not count a frozen peer as heard, however often it takes a connection', async () => {
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
    const madeAt = client.heardAt;
    await waitFor(() => links > 2);
    assert.equal(client.heardAt, madeAt);
    stop.abort();
  });

  // The peer ends each link soon after it came up, as one does that restarts again and again. The
  // process lives on for weeks; were each ended link kept until its signal, its memory would grow with
  // every reconnect.
  it('keeps nothing of links that have ended', async () => {
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

  // The hub of a process is cut off: its link goes silent and is closed after two seconds. A configuration
  // that was accepted elsewhere waits meanwhile. Connecting to the silent hub first would hang for another
  // second and a half, and callers are served by the older configuration all that time.
  it('tries another target first after one went silent', async () => {
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
