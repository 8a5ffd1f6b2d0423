import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import { ChunkReader, MAX_CHUNKS_PER_TURN, type ReadDelay } from '../../index.js';

/** A body that a reader takes from, with what the reader did. */
class StandInSource {
  paused = 0;

  isPaused = false;

  readonly passedOn: string[] = [];

  readonly reader: ChunkReader;

  constructor(readDelay: ReadDelay = () => 0) {
    this.reader = new ChunkReader({
      source: {
        pause: () => {
          this.paused += 1;
          this.isPaused = true;
        },
        resume: () => {
          this.isPaused = false;
        },
      },
      onBytes: (bytes) => this.passedOn.push(bytes.toString()),
      delay: readDelay,
    });
  }

  /** Adds chunks until the reader pauses; returns their number. */
  addUntilPaused(most: number): number {
    let count = 0;
    while (count < most && !this.isPaused) {
      this.reader.add(Buffer.from('x'));
      count += 1;
    }
    return count;
  }
}

describe('ChunkReader', () => {
  it('passes on chunks that arrive together as one buffer, before anything else happens', async () => {
    const source = new StandInSource();
    ['a', 'bc', '', 'd'].forEach((text) => source.reader.add(Buffer.from(text)));
    assert.deepEqual(source.passedOn, []);
    await Promise.resolve();
    await nextTurn();
    assert.deepEqual(source.passedOn, ['abcd']);
    assert.equal(source.paused, 0);
  });

  // Guards against an event loop that one body in small chunks keeps for itself.
  it('pauses after a number of chunks until other work had its turn', async () => {
    const source = new StandInSource();
    assert.equal(source.addUntilPaused(10_000), MAX_CHUNKS_PER_TURN);
    await nextTurn();
    await nextTurn();
    assert.equal(source.isPaused, false);
    assert.equal(source.passedOn.join('').length, MAX_CHUNKS_PER_TURN);
  });

  // Guards against a socket that is read many times in one turn, each time with fewer chunks than the limit.
  [1, 100, 10_000].forEach((size) => {
    it(`pauses within a turn that brings many reads, in chunks of ${size} bytes`, async () => {
      const source = new StandInSource();
      const chunk = Buffer.alloc(size, 'x');
      const chunksOfRead = Math.ceil(MAX_CHUNKS_PER_TURN / 4 / Math.max(1, size / 64));
      let reads = 0;
      while (!source.isPaused && reads < 32) {
        Array.from({ length: chunksOfRead }, () => source.reader.add(chunk));
        reads += 1;
        // What was read is passed on before the next read of the same turn.
        // eslint-disable-next-line no-await-in-loop
        await Promise.resolve();
      }
      assert.ok(reads <= 4, `${reads} reads`);
      await nextTurn();
      await nextTurn();
      assert.equal(source.isPaused, false);
    });
  });

  it('waits for as long as the delay says', async () => {
    const asked: number[] = [];
    const source = new StandInSource((chunks) => {
      asked.push(chunks);
      return 40;
    });
    source.addUntilPaused(10);
    await nextTurn();
    assert.deepEqual([asked, source.isPaused], [[10], true]);
    await delay(80);
    assert.equal(source.isPaused, false);
  });

  // Guards against a slow receiver that is sent more because the wait for the rate has ended.
  it('stays paused while it is held, whatever else ends', async () => {
    const source = new StandInSource(() => 5);
    source.reader.hold();
    source.reader.add(Buffer.from('x'));
    await delay(30);
    assert.equal(source.isPaused, true);
    source.reader.release();
    assert.equal(source.isPaused, false);
  });

  it('passes on what it has at the end, and neither pauses nor passes on anything after', async () => {
    const source = new StandInSource(() => 5);
    source.reader.add(Buffer.from('last'));
    source.reader.end();
    source.reader.add(Buffer.from('more'));
    assert.deepEqual(source.passedOn, ['last']);
    const { paused } = source;
    await delay(20);
    source.reader.hold();
    assert.deepEqual([source.passedOn, source.paused], [['last'], paused]);
  });

  it('drops what it has when it is stopped', async () => {
    const source = new StandInSource();
    source.reader.add(Buffer.from('x'));
    source.reader.stop();
    await nextTurn();
    assert.deepEqual(source.passedOn, []);
  });
});
