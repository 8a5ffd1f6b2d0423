import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { OVERLOAD_COSTS } from '../../../../coordination/__tests__/utils/OverloadModel.js';
import type { Route, RoutePlan } from '../../../../protocol/index.js';
import { viewRoutes } from '../../../../state/index.js';
import { DirectModels } from '../../DirectModels.js';

function modelsOf(priorities: readonly number[]): DirectModels {
  const routes = priorities.map((priority, i) => ({
    name: `r${i}`,
    host: 'h',
    pathPrefix: '/',
    priority,
    pauseMs: null,
    targets: [{ service: i < 2 ? 's' : 'other', weight: 1 }],
  }));
  const services = [
    { name: 's', engine: OVERLOAD_COSTS },
    { name: 'plain', engine: null },
  ];
  const models = new DirectModels();
  const plan = { routes: routes as unknown as Route[], services, customers: [] };
  models.setRoutes(viewRoutes(plan as unknown as RoutePlan));
  return models;
}

describe('DirectModels', () => {
  // Guards against admission by urgency, and its header, where a customer hasn't asked for it.
  it('is by urgency only if the routes of that service have different priorities', () => {
    const same = modelsOf([1, 1, 0]);
    assert.equal(same.at('s')?.byUrgency, false);
    assert.equal(same.urgencyOf('s', 1), null);
    assert.equal(modelsOf([0, 2]).at('s')?.byUrgency, true);
    assert.equal(modelsOf([0, 2]).urgencyOf('plain', 1), null);
  });

  it('limits the urgency to whole numbers from 0 to 9', () => {
    const models = modelsOf([0, 2]);
    const urgencies = [-1, 0, 2.6, 9, 40].map((priority) => models.urgencyOf('s', priority));
    assert.deepEqual(urgencies, [0, 0, 3, 9, 9]);
  });
});
