import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { openSnapshots } from '../../../__tests__/utils/TestSnapshot.js';
import { explainRequest, formatExplanation, parseLog } from '../../CliExplain.js';

const matchSnapshot = openSnapshots(import.meta.url);

/** A line of the log with a prefix, as collectors of logs put one. */
function line(ms: number, id: string, event: string, fields: object): string {
  const time = new Date(1_790_000_000_000 + ms).toISOString();
  const role = id.startsWith('side') ? 'endpoint' : 'entry';
  return `12.5 ${id} ${JSON.stringify({ level: 30, time, id, role, event, ...fields, msg: 'm' })}`;
}

const PLACES = {
  group: 'g0',
  open: true,
  passMs: 104,
  skew: 2.9,
  own: 8,
  allowance: 8,
  waiting: 3,
};

const LOG = [
  line(50, 'edge-1', 'turn', { request: 'r9', endpoint: null, waitMs: 2_900 }),
  line(60, 'edge-1', 'answer', { request: 'r9', outcome: 'refused', attempts: 0, firstMs: null }),
  line(0, 'edge-1', 'places', { ...PLACES, open: false }),
  line(100, 'side-4', 'map', { group: 'g0', phase: 'voiding', version: 200_001, step: 20 }),
  line(200, 'edge-1', 'answer', { request: 'r1', outcome: 'refused', attempts: 0, firstMs: null }),
  'some other text',
  '{"cut off',
  line(4_000, 'edge-1', 'places', PLACES),
  line(4_100, 'edge-2', 'places', { ...PLACES, group: 'g1' }),
  line(4_200, 'edge-1', 'answer', {
    request: 'r2',
    outcome: 'refused',
    attempts: 0,
    firstMs: null,
  }),
  line(4_300, 'edge-1', 'route', { request: 'r3', attempt: 1, endpoint: 'i-1' }),
  line(4_900, 'edge-1', 'attempt', {
    request: 'r3',
    endpoint: 'i-1',
    failure: 'broken',
    reason: 'read ECONNRESET',
    verdict: 'cut',
  }),
  line(4_901, 'edge-1', 'answer', { request: 'r3', outcome: 'cut', attempts: 1, firstMs: 180 }),
  line(5_000, 'edge-1', 'answer', {
    request: 'r4',
    outcome: 'whole',
    attempts: 1,
    firstMs: 180,
    pauseMs: 163,
  }),
  line(5_100, 'edge-1', 'refuse', { request: 'r5', code: 'unknown_key', reason: 'no such key' }),
  line(5_200, 'edge-1', 'route', { request: 'r6', attempt: 1, endpoint: 'i-1' }),
  line(9_000, 'edge-1', 'places', { ...PLACES, own: 2 }),
  line(9_900, 'edge-1', 'answer', {
    request: 'r8',
    outcome: 'refused',
    attempts: 0,
    firstMs: null,
  }),
].join('\n');

describe('explain', () => {
  // On call there is only the log. Each id must lead to its lines, to what its host believed of the group
  // and what the group's coordinator did just before, and to one sentence on the cause.
  it('leads from an id to its cause', () => {
    const log = parseLog(LOG);
    const texts = ['r1', 'r2', 'r3', 'r4', 'r5', 'r6', 'r7', 'r8', 'r9'].map((id) =>
      formatExplanation(explainRequest(id, log)).split('\n'),
    );
    matchSnapshot('explanations', texts);
  });

  it('names the ends for which a request was sent to no endpoint', () => {
    const held = { request: 'r9', digest: 'da03', ends: 2 };
    const answer = { request: 'r9', attempts: 0, firstMs: null, outcome: 'quarantined' };
    const log = [line(0, 'edge-1', 'held', held), line(1, 'edge-1', 'answer', answer)];
    assert.equal(
      explainRequest('r9', parseLog(log.join('\n'))).conclusion,
      'refused and not run; sent to no other, for 2 endpoints have ended under it ' +
        '(look for "endpoint_ended" lines with da03)',
    );
  });

  // Guards against: an answer whose head the HTTP library made up can't be told from an endpoint's in the log.
  it('tells an answer whose head is neither the endpoint’s nor an error', () => {
    const answer = { request: 'r9', attempts: 1, firstMs: null, pauseMs: 0, outcome: 'whole' };
    const conclude = (fields: object): string =>
      explainRequest('r9', parseLog(line(0, 'edge-1', 'answer', { ...answer, ...fields })))
        .conclusion;
    assert.match(
      conclude({ status: 200, headOf: 'library' }),
      /its head, with status 200, is neither/,
    );
    assert.doesNotMatch(conclude({ status: 200, headOf: 'endpoint' }), /its head/);
    assert.doesNotMatch(conclude({}), /its head/);
  });
});
