import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MapStages } from '../../index.js';

function runChange(stages: MapStages, at: number): void {
  stages.onPlan(5, at);
  stages.onPhase('preparing', at);
  stages.onPhase('holding', at + 200);
  stages.onPhase('arming', at + 230);
  stages.onPhase('releasing', at + 300);
  stages.onPhase('idle', at + 340);
}

describe('MapStages', () => {
  it('measures how long each stage of a change took', () => {
    const stages = new MapStages();
    stages.onCounts(1.1, 30, 1_000);
    stages.onCounts(1.9, 40, 1_250);
    stages.onCounts(2.2, 50, 1_500);
    runChange(stages, 1_505);
    assert.deepEqual(stages.finish(1_845), {
      waitMs: 250,
      countsMs: 50,
      planMs: 5,
      copyMs: 200,
      holdMs: 30,
      armMs: 70,
      releaseMs: 40,
    });
  });

  // Guards against: a map that has become balanced, through demand or a change, still counts as behind.
  it('restarts the wait once the map suits the demand again', () => {
    const stages = new MapStages();
    stages.onCounts(1.9, 40, 1_000);
    stages.onCounts(1.2, 40, 1_250);
    stages.onCounts(1.9, 40, 1_500);
    runChange(stages, 1_505);
    assert.equal(stages.finish(1_845).waitMs, 0);
    stages.onCounts(1.5, 40, 2_000);
    runChange(stages, 2_005);
    assert.equal(stages.finish(2_345).waitMs, 0);
  });

  // If the chosen pass begins before the hold is carried out, another pass is chosen; the stage counts from the
  // first choice.
  it('counts a repeated stage from its first start', () => {
    const stages = new MapStages();
    stages.onCounts(1.9, 40, 1_000);
    stages.onPlan(5, 1_005);
    stages.onPhase('preparing', 1_005);
    stages.onPhase('holding', 1_100);
    stages.onPhase('holding', 1_160);
    stages.onPhase('arming', 1_200);
    stages.onPhase('releasing', 1_250);
    assert.equal(stages.finish(1_300).holdMs, 100);
  });
});
