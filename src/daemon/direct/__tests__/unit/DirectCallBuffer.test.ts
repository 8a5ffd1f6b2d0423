import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Registry } from 'prom-client';
import type { Runtime } from '../../../DaemonRuntime.js';
import type { WholeAnswer } from '../../DirectAttempt.js';
import { DirectCallBuffer } from '../../DirectCallBuffer.js';
import { DirectReadLimits } from '../../DirectReadLimits.js';
import type { DirectReply } from '../../DirectReply.js';

const MEMORY_BYTES = 4_000_000;

/** What answers may take at least. */
const MAX_HELD_BYTES = 16_777_216;

const ignore = (): void => undefined;

const START = { status: 200, headers: [] };

const EVENTS = Buffer.from('id: 1\n\n');

function answerOf(bytes: number): WholeAnswer {
  return { body: Buffer.alloc(bytes) } as unknown as WholeAnswer;
}

interface StandInReply {
  unreadBytes: number;
  isClosed: boolean;
  onDrain: () => void;
  onClose: () => void;
}

/** Requests of one process that share its limits; `log` records what was done to them. */
class Fixture {
  readonly log: string[] = [];

  readonly registry = new Registry();

  readonly #limits: DirectReadLimits;

  constructor() {
    const runtime = { registry: this.registry, now: () => 0, log: { warn: ignore } };
    this.#limits = new DirectReadLimits(runtime as unknown as Runtime, MEMORY_BYTES);
  }

  open(id: string): { readonly buffer: DirectCallBuffer; readonly reply: StandInReply } {
    const reply: StandInReply = {
      unreadBytes: 0,
      isClosed: false,
      onDrain: ignore,
      onClose: ignore,
    };
    const buffer = new DirectCallBuffer({
      id,
      reply: Object.assign(reply, {
        cut: () => this.log.push(`cut ${id}`),
        passEvents: ignore,
        passWhole: ignore,
        registerClose: (onClose: () => void) => {
          reply.onClose = onClose;
          return ignore;
        },
        registerDrain: (onDrain: () => void) => {
          reply.onDrain = onDrain;
          return () => {
            reply.onDrain = ignore;
          };
        },
      }) as unknown as DirectReply,
      limits: this.#limits,
      endAttempt: () => {
        this.log.push(`end ${id}`);
        buffer.release();
      },
    });
    return { buffer, reply };
  }

  async heldBytes(): Promise<number> {
    const metric = await this.registry.getSingleMetricAsString('laburnumgauge_held_answer_bytes');
    return Number(metric.split(' ').at(-1));
  }
}

describe('DirectCallBuffer', () => {
  // Guards against answers that each stay within their limit and together fill the memory of the process.
  it('ends the answer that holds the most once all together hold too much', async () => {
    const fixture = new Fixture();
    const [large, small] = [fixture.open('large'), fixture.open('small')];
    large.buffer.setReceived(MAX_HELD_BYTES - 10);
    small.buffer.setReceived(10);
    assert.deepEqual(fixture.log, []);
    small.buffer.setReceived(20);
    assert.deepEqual(fixture.log, ['end large']);
    assert.equal(await fixture.heldBytes(), 20);
  });

  it('counts a complete answer until its caller has read it, and cuts it if it holds the most', async () => {
    const fixture = new Fixture();
    const slow = fixture.open('slow');
    slow.reply.unreadBytes = 14_400_000;
    slow.buffer.passWhole(START, answerOf(14_400_000));
    assert.equal(await fixture.heldBytes(), 14_400_000);
    fixture.open('next').buffer.setReceived(3_200_000);
    assert.deepEqual(fixture.log, ['cut slow']);
    const read = fixture.open('read');
    read.reply.unreadBytes = 8_000_000;
    read.buffer.passWhole(START, answerOf(8_000_000));
    read.reply.onClose();
    assert.equal(await fixture.heldBytes(), 3_200_000);
  });

  it('counts no answer that its caller has read, or whose caller has left', async () => {
    const fixture = new Fixture();
    fixture.open('read').buffer.passWhole(START, answerOf(500_000));
    const left = fixture.open('left');
    Object.assign(left.reply, { unreadBytes: 1, isClosed: true });
    left.buffer.passWhole(START, answerOf(500_000));
    assert.equal(await fixture.heldBytes(), 0);
  });

  // Guards against a stream that is taken in as fast as its endpoint sends it while its caller reads nothing.
  it('pauses a stream that its caller leaves unread, until all of it is read', () => {
    const fixture = new Fixture();
    const { buffer, reply } = fixture.open('slow');
    const reading = {
      pause: () => fixture.log.push('pause'),
      resume: () => fixture.log.push('resume'),
    };
    reply.unreadBytes = 262_144;
    buffer.passEvents(EVENTS, reading);
    assert.deepEqual(fixture.log, []);
    reply.unreadBytes += 1;
    buffer.passEvents(EVENTS, reading);
    buffer.passEvents(EVENTS, reading);
    reply.onDrain();
    assert.deepEqual(fixture.log, ['pause', 'resume']);
    buffer.passEvents(EVENTS, reading);
    buffer.release();
    reply.onDrain();
    assert.deepEqual(fixture.log, ['pause', 'resume', 'pause']);
  });
});
