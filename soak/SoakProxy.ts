/** Loopback TCP proxy in front of the hosts' ports: delays, resets or silences connections, or cuts one direction. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { resetSocket } from '../src/transport/index.js';

/** What the proxy does to the data of a host. */
export type ProxyMode = 'pass' | 'delay' | 'cutInward' | 'cutOutward';

/** A port to proxy: the proxy listens at `outside` and connects to `inside`, both IP addresses. */
export interface ProxyPort {
  readonly host: string;
  readonly port: number;
  readonly inside: string;
  readonly outside: string;
}

/** Delay of each piece of data in the mode `delay`, ms: about fifty times the delay between availability zones. */
const DELAY_MS = 80;

interface ProxiedConnection {
  readonly host: string;
  readonly caller: Socket;
  readonly callee: Socket;
  silent: boolean;
}

function keyOf({ host, port }: ProxyPort): string {
  return `${host}:${port}`;
}

async function listenOn(server: Server, { outside, port }: ProxyPort): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: outside, port, backlog: 512 }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Proxies all ports of a run; it loses data only by a reset or a silence. */
export class SoakProxy {
  readonly #servers = new Map<string, Server>();

  readonly #connections = new Set<ProxiedConnection>();

  readonly #portQueues = new Map<string, Promise<void>>();

  #isClosed = false;

  readonly #modes = new Map<string, ProxyMode>();

  async listen(ports: readonly ProxyPort[]): Promise<void> {
    await Promise.all(ports.map(async (proxyPort) => this.#listen(proxyPort)));
  }

  /** Refuses new connections to a port, as a host whose process has exited does, or accepts them again. */
  async setRefusing(proxyPort: ProxyPort, refuses: boolean): Promise<void> {
    const key = keyOf(proxyPort);
    // Calls run one after another: `listen` must not be called again while a server is starting to listen.
    const previous = this.#portQueues.get(key) ?? Promise.resolve();
    const queued = previous.then(async () => this.#applyRefusing(proxyPort, refuses));
    this.#portQueues.set(key, queued);
    return queued;
  }

  /** Sets the mode of a host; data that a cut held back is forwarded once the cut ends. */
  setMode(host: string, mode: ProxyMode): void {
    this.#modes.set(host, mode);
    this.#connections.forEach((connection) => this.#applyMode(connection));
  }

  /** Resets all connections of a host. */
  reset(host: string): void {
    this.#connectionsOf(host).forEach(({ caller, callee }) => {
      resetSocket(caller);
      resetSocket(callee);
    });
  }

  /** Stops forwarding on the open connections of a host for good, without closing them; new ones work. */
  silence(host: string): void {
    this.#connectionsOf(host).forEach((connection) => {
      // eslint-disable-next-line no-param-reassign
      connection.silent = true;
      this.#applyMode(connection);
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#servers.forEach((server) => server.close());
    this.#connections.forEach(({ caller, callee }) => {
      caller.destroy();
      callee.destroy();
    });
  }

  #connectionsOf(host: string): readonly ProxiedConnection[] {
    return [...this.#connections].filter((connection) => connection.host === host);
  }

  async #applyRefusing(proxyPort: ProxyPort, refuses: boolean): Promise<void> {
    const server = this.#servers.get(keyOf(proxyPort));
    if (refuses) {
      server?.close();
    } else if (server?.listening === false && !this.#isClosed) {
      await listenOn(server, proxyPort);
    }
  }

  async #listen(proxyPort: ProxyPort): Promise<void> {
    const { host, port, inside } = proxyPort;
    const server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, (caller) => {
      this.#addConnection(host, caller, connect({ host: inside, port, allowHalfOpen: true }));
    });
    this.#servers.set(keyOf(proxyPort), server);
    await listenOn(server, proxyPort);
  }

  #addConnection(host: string, caller: Socket, callee: Socket): void {
    const connection: ProxiedConnection = { host, caller, callee, silent: false };
    this.#connections.add(connection);
    this.#forward(connection, caller, callee);
    this.#forward(connection, callee, caller);
    callee.once('connect', () => this.#applyMode(connection));
  }

  #forward(connection: ProxiedConnection, from: Socket, to: Socket): void {
    // Queued, so that data received after a delay has ended doesn't overtake delayed data.
    let previous = Promise.resolve();
    const enqueue = (task: () => void): void => {
      const delayMs = this.#modes.get(connection.host) === 'delay' ? DELAY_MS : 0;
      const elapsed = delayMs === 0 ? Promise.resolve() : delay(delayMs);
      previous = previous.then(async () => elapsed).then(task);
    };
    from.setNoDelay(true);
    from.on('data', (data: Buffer) => enqueue(() => to.write(data)));
    from.on('end', () => enqueue(() => to.end()));
    from.on('error', () => {
      if (!connection.silent) {
        resetSocket(to);
      }
    });
    from.on('close', () => {
      this.#connections.delete(connection);
      if (!connection.silent && !from.readableEnded) {
        to.destroy();
      }
    });
  }

  /** Pauses or resumes each direction, by the host's mode and the connection's own silence. */
  #applyMode({ host, caller, callee, silent }: ProxiedConnection): void {
    const mode = this.#modes.get(host) ?? 'pass';
    const setPaused = (socket: Socket, isPaused: boolean): void => {
      if (isPaused) {
        socket.pause();
      } else {
        socket.resume();
      }
    };
    setPaused(caller, silent || mode === 'cutInward');
    setPaused(callee, silent || mode === 'cutOutward');
  }
}
