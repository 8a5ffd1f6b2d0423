import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { openSnapshots } from '../../../__tests__/utils/TestSnapshot.js';
import { parseLog } from '../../CliExplain.js';
import { formatLoss, splitLoss } from '../../CliLoss.js';

const matchSnapshot = openSnapshots(import.meta.url);

/** A log line of an entry process, as stored by a collector. */
function line(ms: number, event: string, fields: object): string {
  const time = new Date(1_790_000_000_000 + ms).toISOString();
  return `edge-1 ${JSON.stringify({ level: 30, time, id: 'edge-1', role: 'entry', event, ...fields })}`;
}

const ON_TIME = { outcome: 'whole', attempts: 1, firstMs: 150, pauseMs: 60 };

function answer(ms: number, request: string, fields: object): string {
  const aims = { objectiveMs: 400, pauseAimMs: 120 };
  return line(ms, 'answer', { request, ...aims, ...ON_TIME, ...fields });
}

const REFUSED = { outcome: 'refused', attempts: 0, firstMs: null };

/** A group that is balanced, then skewed, down and full; then a process that has just started. */
const LOG = [
  line(0, 'places', { open: true, own: 3, allowance: 8, skew: 1.1 }),
  answer(100, 'a', {}),
  answer(200, 'b', { firstMs: 520 }),
  answer(300, 'c', { pauseMs: 130 }),
  line(1_000, 'places', { open: true, own: 3, allowance: 8, skew: 2.2 }),
  answer(1_100, 'd', { pauseMs: 150 }),
  line(2_000, 'places', { open: false, own: 3, allowance: 8, skew: 2.2 }),
  answer(2_100, 'e', REFUSED),
  answer(2_200, 'f', { outcome: 'cut' }),
  line(2_300, 'attempt', { request: 'g', failure: 'notRun', verdict: 'wait' }),
  answer(2_400, 'g', { ...REFUSED, attempts: 1 }),
  line(4_000, 'places', { open: true, own: 8, allowance: 8, skew: 1.2 }),
  answer(4_100, 'h', REFUSED),
  line(4_200, 'places', { open: true, own: 2, allowance: 8, skew: 1.2 }),
  answer(4_300, 'i', REFUSED),
  answer(4_400, 'j', { outcome: 'passed' }),
  line(4_500, 'turn', { request: 'm', endpoint: null, waitMs: 2_900 }),
  answer(4_500, 'm', REFUSED),
  line(4_600, 'turn', { request: 'n', endpoint: 'i-1', waitMs: 40 }),
  answer(4_650, 'n', REFUSED),
  line(6_000, 'refuse', { request: 'k', code: 'not_ready' }),
  line(6_100, 'refuse', { request: 'l', code: 'unknown_key' }),
].join('\n');

describe('splitLoss', () => {
  it('attributes each late or unanswered request to one cause', () => {
    matchSnapshot('loss by cause', formatLoss(splitLoss(parseLog(LOG), 2)));
  });

  it('has parts that add up to the loss, in total and in each window', () => {
    const report = splitLoss(parseLog(LOG), 2);
    [report, ...report.windows].forEach(({ lost, parts }) => {
      assert.equal(
        Object.values(parts).reduce((sum, part) => sum + part, 0),
        lost,
      );
    });
    assert.equal(
      report.windows.reduce((sum, { lost }) => sum + lost, 0),
      report.lost,
    );
  });

  it('reports no requests for an empty log', () => {
    assert.deepEqual(splitLoss([], 2), { requests: 0, lost: 0, parts: {}, windows: [] });
  });
});
