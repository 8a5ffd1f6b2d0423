import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { pino } from 'pino';
import {
  applyCommand,
  EMPTY_CONTROL,
  evacuationsOf,
  type CommandResult,
  type ControlState,
} from '../../../state/index.js';
import {
  DaemonEvacuations,
  type EvacuationLeaderReply,
  type EvacuationRequest,
  type EvacuationsOptions,
} from '../../DaemonEvacuations.js';

/** A leader of three voters; its log is applied at once, and the other voters hold it up to index `held`. */
class FakeLeader {
  control: ControlState = EMPTY_CONTROL;

  held = Infinity;

  proposals = 0;

  leads = true;

  /** Changes the configuration by a document. */
  replace(): void {
    const index = this.control.index + 1;
    const document = { kind: 'replace', fleet: 'f', digest: 'd', entries: {} } as const;
    this.control = applyCommand(this.control, { ...document, version: index }, index).state;
  }

  propose(command: never): CommandResult {
    this.proposals += 1;
    const applied = applyCommand(this.control, command, this.control.index + 1);
    this.control = applied.state;
    return applied.result;
  }

  get zones(): readonly string[] {
    return evacuationsOf(this.control.config.entries).map(({ zone }) => zone);
  }
}

function consensusOf(leader: FakeLeader): EvacuationsOptions['consensus'] {
  return {
    state: {
      id: 'a',
      members: { voters: ['a', 'b', 'c'], learners: [] },
      get progress() {
        return { b: { match: leader.held }, c: { match: leader.held } };
      },
    },
    get control() {
      return leader.control;
    },
    readIndex: async () => (leader.leads ? leader.control.index : null),
    propose: async (command: never) => leader.propose(command),
  } as unknown as EvacuationsOptions['consensus'];
}

function evacuationsAt(
  leader: FakeLeader,
  replaced: Partial<EvacuationsOptions> = {},
): DaemonEvacuations {
  const evacuations: DaemonEvacuations = new DaemonEvacuations({
    consensus: consensusOf(leader),
    log: pino({ level: 'silent' }),
    now: () => performance.now(),
    lossesBorne: 1,
    suspension: { isRecent: false },
    readNewest: async () => leader.control.config.index,
    callLeader: async (request) => evacuations.decide(request),
    ...replaced,
  });
  return evacuations;
}

const BEGIN = { zone: 'z1', evacuated: true };
const FINISH = { zone: 'z1', evacuated: false };

describe('DaemonEvacuations', () => {
  // Guards against an acknowledged evacuation that is lost with the leader's disk.
  it('acknowledges an order, also a repeated one, only once more disks hold it than may be lost', async () => {
    const leader = new FakeLeader();
    leader.held = 0;
    const evacuations = evacuationsAt(leader);
    assert.equal((await evacuations.order(BEGIN)).result, 'unavailable');
    assert.equal((await evacuations.order(BEGIN)).result, 'unavailable');
    leader.held = 1;
    assert.deepEqual(await evacuations.order(BEGIN), { result: 'accepted', ...BEGIN, index: 1 });
    assert.equal(leader.proposals, 1);
  });

  // Guards against an order whose answer was lost, and that changes something or fails when it is sent again.
  it('acknowledges repeated orders, and a finish where nothing is evacuated, without a change', async () => {
    const leader = new FakeLeader();
    const [first, second] = [evacuationsAt(leader), evacuationsAt(leader)];
    assert.equal((await first.order(FINISH)).result, 'accepted');
    assert.equal(leader.proposals, 0);
    assert.equal((await first.order(BEGIN)).result, 'accepted');
    assert.deepEqual(await second.order(BEGIN), { result: 'accepted', ...BEGIN, index: 1 });
    assert.equal((await second.order(FINISH)).result, 'accepted');
    assert.deepEqual(await first.order(FINISH), { result: 'accepted', ...FINISH, index: 2 });
    assert.equal(leader.proposals, 2);
  });

  // Guards against an order that fails or is made twice when its leader dies between commit and answer.
  it('acknowledges an order that a leader committed before it died', async () => {
    const [dying, successor] = [new FakeLeader(), new FakeLeader()];
    const evacuations: DaemonEvacuations = evacuationsAt(dying, {
      callLeader: async (request) => {
        await evacuations.decide(request);
        throw new Error('link closed');
      },
    });
    assert.equal((await evacuations.order(BEGIN)).result, 'unavailable');
    successor.control = dying.control;
    const again = await evacuationsAt(successor).order(BEGIN);
    assert.deepEqual(again, { result: 'accepted', ...BEGIN, index: 1 });
    assert.equal(successor.proposals, 0);
  });

  // Guards against an order that is given up because others for its zone were accepted between the read and the proposal.
  it('repeats an order that races with others for the zone', async () => {
    const leader = new FakeLeader();
    let attempts = 0;
    const evacuations: DaemonEvacuations = evacuationsAt(leader, {
      callLeader: async (request) => {
        attempts += 1;
        if (attempts <= 2) {
          const base = leader.control.config.index;
          const evacuated = attempts === 1;
          leader.propose({ kind: 'evacuate', zone: 'z1', evacuated, base } as never);
        }
        return evacuations.decide(request);
      },
    });
    assert.equal((await evacuations.order(BEGIN)).result, 'accepted');
    assert.equal(attempts, 3);
    leader.replace();
    assert.deepEqual(leader.zones, ['z1']);
  });

  // Guards against an order that is refused for ever while documents are accepted faster than it reaches the leader.
  it('carries out an order although a document is accepted during each attempt', async () => {
    const leader = new FakeLeader();
    const evacuations: DaemonEvacuations = evacuationsAt(leader, {
      callLeader: async (request) => {
        leader.replace();
        return evacuations.decide(request);
      },
    });
    assert.deepEqual(await evacuations.order(BEGIN), { result: 'accepted', ...BEGIN, index: 2 });
    assert.equal((await evacuations.order(BEGIN)).result, 'accepted');
    assert.equal(leader.proposals, 1);
  });

  // Guards against an order that is late on its way to the leader and undoes a later one of the same operator.
  it('does not carry out an order that reaches the leader after a later one', async () => {
    const leader = new FakeLeader();
    let late: EvacuationRequest | null = null;
    const cutOff = evacuationsAt(leader, {
      callLeader: async (request): Promise<EvacuationLeaderReply> => {
        late = request;
        throw new Error('timeout');
      },
    });
    assert.equal((await cutOff.order(BEGIN)).result, 'unavailable');
    const other = evacuationsAt(leader);
    await other.order(BEGIN);
    await other.order(FINISH);
    assert.ok(late);
    assert.deepEqual(await other.decide(late), { result: 'stale' });
    assert.deepEqual(leader.zones, []);
  });

  // Guards against an order that takes all of its client's time while the leader is cut off, and against one that is
  // based on a configuration of after its answer, so that it undoes a later order.
  it('answers an order that is not decided in time, and does nothing more for it', async () => {
    const leader = new FakeLeader();
    const cutOff = evacuationsAt(leader, {
      callLeader: async () => delay(60_000, { result: 'stale' }, { ref: false }),
    });
    let calls = 0;
    let endRead = (_base: number): void => undefined;
    const slow = evacuationsAt(leader, {
      readNewest: async () =>
        new Promise((resolve) => {
          endRead = resolve;
        }),
      callLeader: async (request) => {
        calls += 1;
        return leader.propose({ kind: 'evacuate', ...request } as never) as never;
      },
    });
    const startedAt = performance.now();
    const replies = await Promise.all([cutOff.order(BEGIN), slow.order(BEGIN)]);
    assert.ok(performance.now() - startedAt < 2_500);
    replies.forEach(({ result }) => assert.equal(result, 'unavailable'));
    endRead(leader.control.config.index);
    await new Promise(setImmediate);
    assert.equal(calls, 0);
  });

  // Guards against an order that lay in the socket of a suspended process and is carried out after its revocation.
  it('refuses orders right after a suspension', async () => {
    const leader = new FakeLeader();
    const evacuations = evacuationsAt(leader, { suspension: { isRecent: true } });
    assert.equal((await evacuations.order(BEGIN)).result, 'unavailable');
    assert.deepEqual(leader.zones, []);
  });

  it('refuses orders without a leader that a quorum confirms', async () => {
    const leader = new FakeLeader();
    leader.leads = false;
    assert.equal((await evacuationsAt(leader).order(BEGIN)).result, 'unavailable');
    assert.equal(leader.proposals, 0);
  });
});
