import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord } from '../../../protocol/index.js';
import {
  NO_ENDPOINT_CRASHES,
  PENDING_LOSS_MS,
  provesCrash,
  stepEndpointCrashes,
  type EndpointCrashesInput,
  type EndpointCrashesOutput,
} from '../../EndpointCrashes.js';

const INCARNATION_KEY = 'i-1@7';

function lost(request: string): EndpointCrashesInput {
  return {
    type: 'lost',
    incarnationKey: INCARNATION_KEY,
    lost: { digest: `d-${request}`, customer: 'kano', request },
  };
}

/** Plays inputs, each with its time in ms; what came out, a request by its id. */
function play(...inputs: readonly (readonly [number, EndpointCrashesInput])[]): readonly string[] {
  let state = NO_ENDPOINT_CRASHES;
  return inputs.flatMap(([now, input]) => {
    const step = stepEndpointCrashes(state, input, now);
    state = step.state;
    return step.outputs.map((output: EndpointCrashesOutput) =>
      output.type === 'probe'
        ? 'probe'
        : `${output.evidence}: ${output.suspects.map(({ request }) => request).join(' ')}`,
    );
  });
}

const REFUSED: EndpointCrashesInput = {
  type: 'probed',
  incarnationKey: INCARNATION_KEY,
  result: 'refused',
};
const OPEN: EndpointCrashesInput = {
  type: 'probed',
  incarnationKey: INCARNATION_KEY,
  result: 'open',
};
const UNKNOWN: EndpointCrashesInput = {
  type: 'probed',
  incarnationKey: INCARNATION_KEY,
  result: 'unknown',
};
const CRASHED: EndpointCrashesInput = { type: 'ended', incarnationKey: INCARNATION_KEY };

const RECORD: MemberRecord = {
  id: 'i-1',
  role: 'endpoint',
  zone: 'z1',
  address: '10.0.0.1:80',
  incarnation: 7,
  version: 3,
  status: 'serving',
};

describe('ends of endpoints', () => {
  it('are held against all that was in progress there, once it is known', () => {
    assert.deepEqual(play([0, lost('a')], [1, lost('b')], [3, REFUSED]), ['probe', 'refused: a b']);
    assert.deepEqual(play([0, lost('a')], [9, UNKNOWN], [3_000, CRASHED]), [
      'probe',
      'reported: a',
    ]);
  });

  it('are known for what is noticed later', () => {
    assert.deepEqual(play([0, lost('a')], [3, REFUSED], [900, lost('b')]), [
      'probe',
      'refused: a',
      'reported: b',
    ]);
  });

  // One rank of a group ends; the others drop their work and go on. What they dropped must not count.
  it('are not seen where the endpoint still listens', () => {
    assert.deepEqual(play([0, lost('a')], [3, OPEN], [2_000, CRASHED]), ['probe']);
  });

  it('are looked for again where a request was lost while the probe ran', () => {
    assert.deepEqual(play([0, lost('a')], [2, lost('b')], [3, OPEN], [6, REFUSED]), [
      'probe',
      'probe',
      'refused: b',
    ]);
  });

  it('that are reported long after the loss have nothing to do with it', () => {
    const late = PENDING_LOSS_MS + 1;
    assert.deepEqual(
      play([0, lost('a')], [9, UNKNOWN], [late, { type: 'tick' }], [late, CRASHED]),
      ['probe'],
    );
  });

  it('are proven by a lease that ran out, a later life or another endpoint at the address', () => {
    assert.ok(provesCrash(RECORD, { ...RECORD, status: 'gone' }));
    assert.ok(provesCrash(RECORD, { ...RECORD, incarnation: 8, version: 0 }));
    assert.ok(provesCrash(RECORD, { ...RECORD, id: 'i-2', incarnation: 1 }));
  });

  it('are not proven by a farewell, a change or late news of an earlier life', () => {
    assert.ok(!provesCrash(RECORD, { ...RECORD, status: 'gone', version: 4 }));
    assert.ok(!provesCrash(RECORD, { ...RECORD, status: 'leaving', version: 4 }));
    assert.ok(!provesCrash(RECORD, { ...RECORD, status: 'gone', incarnation: 6 }));
    assert.ok(!provesCrash(RECORD, { ...RECORD, id: 'i-2', address: '10.0.0.2:80' }));
  });
});
