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
    lost: { digest: `d-${request}`, customer: 'kano', parts: [], request },
  };
}

/** Applies inputs at their times in ms; returns the outputs, with requests by their ids. */
function runInputs(
  ...inputs: readonly (readonly [number, EndpointCrashesInput])[]
): readonly string[] {
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

describe('stepEndpointCrashes', () => {
  it('reports all requests in progress once a crash is known', () => {
    assert.deepEqual(runInputs([0, lost('a')], [1, lost('b')], [3, REFUSED]), [
      'probe',
      'refused: a b',
    ]);
    assert.deepEqual(runInputs([0, lost('a')], [9, UNKNOWN], [3_000, CRASHED]), [
      'probe',
      'reported: a',
    ]);
  });

  it('reports losses that are noticed after the crash is known', () => {
    assert.deepEqual(runInputs([0, lost('a')], [3, REFUSED], [900, lost('b')]), [
      'probe',
      'refused: a',
      'reported: b',
    ]);
  });

  // One rank of a group crashes; the others drop their work and go on. What they dropped must not count.
  it('reports nothing if the endpoint still listens', () => {
    assert.deepEqual(runInputs([0, lost('a')], [3, OPEN], [2_000, CRASHED]), ['probe']);
  });

  it('probes again if a request was lost while the probe ran', () => {
    assert.deepEqual(runInputs([0, lost('a')], [2, lost('b')], [3, OPEN], [6, REFUSED]), [
      'probe',
      'probe',
      'refused: b',
    ]);
  });

  it('does not attribute a loss to a crash that is reported long after it', () => {
    const late = PENDING_LOSS_MS + 1;
    assert.deepEqual(
      runInputs([0, lost('a')], [9, UNKNOWN], [late, { type: 'tick' }], [late, CRASHED]),
      ['probe'],
    );
  });

  it('takes an expired lease, a later incarnation or another endpoint at the address as proof of a crash', () => {
    assert.ok(provesCrash(RECORD, { ...RECORD, status: 'gone' }));
    assert.ok(provesCrash(RECORD, { ...RECORD, incarnation: 8, version: 0 }));
    assert.ok(provesCrash(RECORD, { ...RECORD, id: 'i-2', incarnation: 1 }));
  });

  it('takes no shutdown, changed record or late update of an earlier incarnation as proof of a crash', () => {
    assert.ok(!provesCrash(RECORD, { ...RECORD, status: 'gone', version: 4 }));
    assert.ok(!provesCrash(RECORD, { ...RECORD, status: 'leaving', version: 4 }));
    assert.ok(!provesCrash(RECORD, { ...RECORD, status: 'gone', incarnation: 6 }));
    assert.ok(!provesCrash(RECORD, { ...RECORD, id: 'i-2', address: '10.0.0.2:80' }));
  });
});
