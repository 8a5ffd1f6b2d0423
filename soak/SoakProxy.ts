/** Loopback proxy before the ports of hosts: it delays, resets, silences connections, or cuts one way. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { resetSocket } from '../src/transport/index.js';

/** What a proxy does to the data of a host. */
export type ProxyMode = 'pass' | 'delay' | 'cutInward' | 'cutOutward';

/** A port that is stood before. */
export interface ProxyPort {
  readonly host: string;
  readonly port: number;
  readonly inside: string;
  readonly outside: string;
}

/** Delay of each piece of data in the mode `delay`, ms: some fifty times that between AZs. */
const DELAY_MS = 80;

interface Pair {
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

/** Proxies before all ports of a run; nothing is lost in it but by a reset or a silence. */
export class SoakProxy {
  readonly #servers = new Map<string, Server>();

  readonly #pairs = new Set<Pair>();

  readonly #turns = new Map<string, Promise<void>>();

  #isClosed = false;

  readonly #modes = new Map<string, ProxyMode>();

  async listen(ports: readonly ProxyPort[]): Promise<void> {
    await Promise.all(ports.map(async (port) => this.#listen(port)));
  }

  /** Refuses new connections to a port, as a host does whose process is gone, or takes them again. */
  async setRefusing(place: ProxyPort, refuses: boolean): Promise<void> {
    const key = keyOf(place);
    // One after the other: a server that is about to listen can't be told so again.
    const before = this.#turns.get(key) ?? Promise.resolve();
    const turn = before.then(async () => this.#refuse(place, refuses));
    this.#turns.set(key, turn);
    return turn;
  }

  /** Sets what is done to a host's data; what a cut held back goes on when it ends. */
  setMode(host: string, mode: ProxyMode): void {
    this.#modes.set(host, mode);
    this.#pairs.forEach((pair) => this.#apply(pair));
  }

  /** Resets all connections of a host. */
  reset(host: string): void {
    this.#of(host).forEach(({ caller, callee }) => {
      resetSocket(caller);
      resetSocket(callee);
    });
  }

  /** Open connections of a host go silent for good; new ones work. */
  silence(host: string): void {
    this.#of(host).forEach((pair) => {
      // eslint-disable-next-line no-param-reassign
      pair.silent = true;
      this.#apply(pair);
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#servers.forEach((server) => server.close());
    this.#pairs.forEach(({ caller, callee }) => {
      caller.destroy();
      callee.destroy();
    });
  }

  #of(host: string): readonly Pair[] {
    return [...this.#pairs].filter((pair) => pair.host === host);
  }

  async #refuse(place: ProxyPort, refuses: boolean): Promise<void> {
    const server = this.#servers.get(keyOf(place));
    if (refuses) {
      server?.close();
    } else if (server?.listening === false && !this.#isClosed) {
      await listenOn(server, place);
    }
  }

  async #listen(place: ProxyPort): Promise<void> {
    const { host, port, inside } = place;
    const server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, (caller) => {
      this.#join(host, caller, connect({ host: inside, port, allowHalfOpen: true }));
    });
    this.#servers.set(keyOf(place), server);
    await listenOn(server, place);
  }

  #join(host: string, caller: Socket, callee: Socket): void {
    const pair: Pair = { host, caller, callee, silent: false };
    this.#pairs.add(pair);
    this.#pass(pair, caller, callee);
    this.#pass(pair, callee, caller);
    callee.once('connect', () => this.#apply(pair));
  }

  #pass(pair: Pair, from: Socket, to: Socket): void {
    // One after the other: what comes after a delay has ended must not overtake what was delayed.
    let before = Promise.resolve();
    const inTurn = (task: () => void): void => {
      const delayMs = this.#modes.get(pair.host) === 'delay' ? DELAY_MS : 0;
      const due = delayMs === 0 ? Promise.resolve() : delay(delayMs);
      before = before.then(async () => due).then(task);
    };
    from.setNoDelay(true);
    from.on('data', (data: Buffer) => inTurn(() => to.write(data)));
    from.on('end', () => inTurn(() => to.end()));
    from.on('error', () => {
      if (!pair.silent) {
        resetSocket(to);
      }
    });
    from.on('close', () => {
      this.#pairs.delete(pair);
      if (!pair.silent && !from.readableEnded) {
        to.destroy();
      }
    });
  }

  /** Pauses each direction that the mode, or the pair's own silence, holds back. */
  #apply({ host, caller, callee, silent }: Pair): void {
    const mode = this.#modes.get(host) ?? 'pass';
    const hold = (socket: Socket, isHeld: boolean): void => {
      if (isHeld) {
        socket.pause();
      } else {
        socket.resume();
      }
    };
    hold(caller, silent || mode === 'cutInward');
    hold(callee, silent || mode === 'cutOutward');
  }
}
