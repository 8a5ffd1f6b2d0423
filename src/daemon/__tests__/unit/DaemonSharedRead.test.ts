import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SharedRead } from '../../DaemonSharedRead.js';

/** A source whose reads are answered by hand. */
class Source {
  readonly asked: { answer: (value: number) => void; fail: (err: Error) => void }[] = [];

  read = async (): Promise<number> =>
    new Promise((resolve, reject) => {
      this.asked.push({ answer: resolve, fail: reject });
    });
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('SharedRead', () => {
  // An entry process asks while a read for others is under way, begun before a key was withdrawn. Given
  // that answer, it would take its configuration for the newest though the withdrawal is newer.
  it('never gives an answer that was asked for before the caller asked', async () => {
    const source = new Source();
    const shared = new SharedRead(source.read);
    const first = shared.read();
    await settle();
    const second = shared.read();
    const third = shared.read();
    source.asked[0]?.answer(1);
    await settle();
    assert.equal(source.asked.length, 2);
    source.asked[1]?.answer(2);
    assert.deepEqual(await Promise.all([first, second, third]), [1, 2, 2]);
  });

  it('goes on after a read that failed', async () => {
    const source = new Source();
    const shared = new SharedRead(source.read);
    const first = shared.read();
    await settle();
    const second = shared.read();
    source.asked[0]?.fail(new Error('no leader'));
    await assert.rejects(first, /no leader/);
    await settle();
    source.asked[1]?.answer(2);
    assert.equal(await second, 2);
  });
});
