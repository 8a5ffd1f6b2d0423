import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord } from '../../../protocol/index.js';
import {
  NO_ENDPOINT_ENDS,
  PENDING_MS,
  provesEnd,
  stepEndpointEnds,
  type EndpointEndsInput,
  type EndpointEndsOutput,
} from '../../EndpointEnds.js';

const LIFE = 'i-1@7';

function lost(request: string): EndpointEndsInput {
  return { type: 'lost', life: LIFE, lost: { digest: `d-${request}`, customer: 'kano', request } };
}

/** Plays inputs, each with its time in ms; what came out, a request by its id. */
function play(...inputs: readonly (readonly [number, EndpointEndsInput])[]): readonly string[] {
  let state = NO_ENDPOINT_ENDS;
  return inputs.flatMap(([now, input]) => {
    const step = stepEndpointEnds(state, input, now);
    state = step.state;
    return step.outputs.map((output: EndpointEndsOutput) =>
      output.type === 'probe'
        ? 'probe'
        : `${output.evidence}: ${output.suspects.map(({ request }) => request).join(' ')}`,
    );
  });
}

const REFUSED: EndpointEndsInput = { type: 'probed', life: LIFE, result: 'refused' };
const OPEN: EndpointEndsInput = { type: 'probed', life: LIFE, result: 'open' };
const UNKNOWN: EndpointEndsInput = { type: 'probed', life: LIFE, result: 'unknown' };
const ENDED: EndpointEndsInput = { type: 'ended', life: LIFE };

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
    assert.deepEqual(play([0, lost('a')], [9, UNKNOWN], [3_000, ENDED]), ['probe', 'reported: a']);
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
    assert.deepEqual(play([0, lost('a')], [3, OPEN], [2_000, ENDED]), ['probe']);
  });

  it('are looked for again where a request was lost while the probe ran', () => {
    assert.deepEqual(play([0, lost('a')], [2, lost('b')], [3, OPEN], [6, REFUSED]), [
      'probe',
      'probe',
      'refused: b',
    ]);
  });

  it('that are reported long after the loss have nothing to do with it', () => {
    const late = PENDING_MS + 1;
    assert.deepEqual(play([0, lost('a')], [9, UNKNOWN], [late, { type: 'tick' }], [late, ENDED]), [
      'probe',
    ]);
  });

  it('are proven by a lease that ran out, a later life or another endpoint at the address', () => {
    assert.ok(provesEnd(RECORD, { ...RECORD, status: 'gone' }));
    assert.ok(provesEnd(RECORD, { ...RECORD, incarnation: 8, version: 0 }));
    assert.ok(provesEnd(RECORD, { ...RECORD, id: 'i-2', incarnation: 1 }));
  });

  it('are not proven by a farewell, a change or late news of an earlier life', () => {
    assert.ok(!provesEnd(RECORD, { ...RECORD, status: 'gone', version: 4 }));
    assert.ok(!provesEnd(RECORD, { ...RECORD, status: 'leaving', version: 4 }));
    assert.ok(!provesEnd(RECORD, { ...RECORD, status: 'gone', incarnation: 6 }));
    assert.ok(!provesEnd(RECORD, { ...RECORD, id: 'i-2', address: '10.0.0.2:80' }));
  });
});
