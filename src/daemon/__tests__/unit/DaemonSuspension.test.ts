import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SuspensionWatch } from '../../DaemonSuspension.js';

describe('SuspensionWatch', () => {
  // Guards against messages that lay in sockets during a suspension and are read before any timer has run.
  it('detects a gap of either clock at the first look, for 100 ms', () => {
    const stop = new AbortController();
    const clocks = { monotonic: 0, wall: 1_000_000 };
    const watch = new SuspensionWatch(() => ({ ...clocks }), stop.signal);
    assert.equal(watch.isRecent, false);
    clocks.monotonic += 50;
    clocks.wall += 2_000;
    assert.equal(watch.isRecent, true);
    clocks.monotonic += 99;
    clocks.wall += 99;
    assert.equal(watch.isRecent, true);
    clocks.monotonic += 2;
    assert.equal(watch.isRecent, false);
    clocks.monotonic += 1_000;
    assert.equal(watch.isRecent, true);
    stop.abort();
  });
});
