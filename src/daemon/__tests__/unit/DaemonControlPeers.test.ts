import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { pino } from 'pino';
import type { ConsensusInput, ConsensusMessage } from '../../../coordination/index.js';
import { serveLinks, type LinkHandler } from '../../../transport/index.js';
import type { DaemonConsensus } from '../../DaemonConsensus.js';
import { DaemonControlPeers } from '../../DaemonControlPeers.js';
import type { DaemonHub } from '../../DaemonHub.js';
import type { ControlTarget } from '../../DaemonSettings.js';

const HELLO = 'control.hello';

/** Time within which a new link must be usable, ms. */
const LINK_UP_MS = 5_000;

const REPLY: ConsensusMessage = {
  type: 'appendReply',
  term: 1,
  ok: false,
  match: 0,
  round: 0,
};

const HUB = {
  attached: [],
  onControlsChanged: () => undefined,
  onPeerDirectory: () => undefined,
  sendSharedSets: () => undefined,
} as unknown as DaemonHub;

interface ControlProcess {
  readonly peers: DaemonControlPeers;
  readonly target: ControlTarget;
  /** Messages of the log that it has received. */
  readonly received: ConsensusInput[];
}

interface ControlProcessOptions {
  readonly name: string;
  readonly members: readonly string[];
  readonly targets: readonly ControlTarget[];
  readonly signal: AbortSignal;
  /** Called after each greeting of another control process. */
  readonly onHello?: (peers: DaemonControlPeers) => void;
}

/** Starts the links of a control process whose replica never changes. */
async function startControl(options: ControlProcessOptions): Promise<ControlProcess> {
  const { name, members, targets, signal, onHello } = options;
  const received: ConsensusInput[] = [];
  const consensus = {
    state: {
      id: `${name}.1`,
      role: 'follower',
      heardAt: performance.now(),
      members: { voters: members, learners: [] },
    },
    isFormed: members.length > 0,
    post: (input: ConsensusInput) => received.push(input),
  } as unknown as DaemonConsensus;
  let peers: DaemonControlPeers | null = null;
  const call =
    (method: string): LinkHandler =>
    async (params, link) => {
      const result: unknown = await peers?.handlers[method]?.(params, link);
      if (method === HELLO && peers !== null) {
        onHello?.(peers);
      }
      return result;
    };
  const methods = [HELLO, 'raft', 'control.identity', 'control.directory'];
  const server = await serveLinks({
    address: { host: '127.0.0.1', port: 0 },
    handlers: Object.fromEntries(methods.map((method) => [method, call(method)])),
    signal,
  });
  const address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
  peers = new DaemonControlPeers({
    self: name,
    zone: 'z1',
    address,
    founders: null,
    targets: () => targets,
    locate: () => undefined,
    now: () => performance.now(),
    consensus: () => consensus,
    hub: () => HUB,
    log: pino({ level: 'silent' }),
    signal,
    random: () => 0,
    isCut: () => false,
    onFounded: () => undefined,
    onHostUp: () => undefined,
  });
  return { peers, target: { name, address }, received };
}

describe('DaemonControlPeers', () => {
  let stop = new AbortController();

  afterEach(() => {
    stop.abort();
    stop = new AbortController();
  });

  // Guards against a control process with an empty disk that never gets its vote back, as its replies to a leader
  // which its settings don't name are dropped.
  it('replies to a leader that only the leader itself has named', async () => {
    const { signal } = stop;
    const newcomer = await startControl({
      name: 'newcomer',
      members: [],
      targets: [],
      signal,
      onHello: (peers) => {
        peers.formOrJoinCluster().catch(() => undefined);
      },
    });
    const leader = await startControl({
      name: 'leader',
      members: ['leader.1', 'newcomer.1'],
      targets: [newcomer.target],
      signal,
    });
    const end = performance.now() + LINK_UP_MS;
    while (leader.received.length === 0 && performance.now() < end) {
      newcomer.peers.send('leader.1', REPLY);
      // eslint-disable-next-line no-await-in-loop
      await delay(20);
    }
    assert.deepEqual(leader.received.at(0), {
      type: 'message',
      from: 'newcomer.1',
      message: REPLY,
    });
  });

  // Guards against a restarted process that reports the start of its attempts as contact with a lost host.
  it('tells whether it has ever heard from the host of a replica', async () => {
    const { signal } = stop;
    const up = await startControl({ name: 'up', members: [], targets: [], signal });
    const lost = { name: 'lost', address: { host: '127.0.0.1', port: 1 } };
    const targets = [up.target, lost];
    const { peers } = await startControl({ name: 'self', members: [], targets, signal });
    assert.equal(peers.heardAt('up.1')?.heard, false);
    const end = performance.now() + LINK_UP_MS;
    while (peers.heardAt('up.1')?.heard !== true && performance.now() < end) {
      // eslint-disable-next-line no-await-in-loop
      await delay(20);
    }
    assert.equal(peers.heardAt('up.1')?.heard, true);
    assert.equal(peers.heardAt('lost.1')?.heard, false);
    assert.equal(peers.heardAt('unknown.1'), undefined);
  });
});
