import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CoalescedRead } from '../../DaemonCoalescedRead.js';

/** A source whose reads the test resolves or rejects. */
class Source {
  readonly pending: { answer: (value: number) => void; fail: (err: Error) => void }[] = [];

  read = async (): Promise<number> =>
    new Promise((resolve, reject) => {
      this.pending.push({ answer: resolve, fail: reject });
    });
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('CoalescedRead', () => {
  // An entry process reads while another read is in progress that began before a key was revoked. If it got that
  // result, it would take its configuration for the newest although the revocation is newer.
  it('never returns the result of a read that started before the call', async () => {
    const source = new Source();
    const shared = new CoalescedRead(source.read);
    const first = shared.read();
    await settle();
    const second = shared.read();
    const third = shared.read();
    source.pending[0]?.answer(1);
    await settle();
    assert.equal(source.pending.length, 2);
    source.pending[1]?.answer(2);
    assert.deepEqual(await Promise.all([first, second, third]), [1, 2, 2]);
  });

  it('continues after a read that failed', async () => {
    const source = new Source();
    const shared = new CoalescedRead(source.read);
    const first = shared.read();
    await settle();
    const second = shared.read();
    source.pending[0]?.fail(new Error('no leader'));
    await assert.rejects(first, /no leader/);
    await settle();
    source.pending[1]?.answer(2);
    assert.equal(await second, 2);
  });
});
