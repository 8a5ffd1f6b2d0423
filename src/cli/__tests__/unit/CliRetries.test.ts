import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { openSnapshots } from '../../../__tests__/utils/TestSnapshot.js';
import { parseLog } from '../../CliExplain.js';
import { formatRetries, reportRetries } from '../../CliRetries.js';

const matchSnapshot = openSnapshots(import.meta.url);

/** A log line of an entry process. */
function line(ms: number, id: string, event: string, fields: object): string {
  const time = new Date(1_790_000_000_000 + ms).toISOString();
  return JSON.stringify({ time, id, event, ...fields });
}

function retryLines(id: string, request: string, sentMs: number, wayMs: number): readonly string[] {
  const retry = { service: 'desk', request, endpoint: 'i-1' };
  return [
    line(sentMs, id, 'retry_sent', retry),
    line(sentMs + wayMs, id, 'retry_arrived', { ...retry, proof: 'answered', ms: wayMs }),
  ];
}

/** Two hosts; the retries of one arrive late, together with those of the other. */
const LOG = [
  ...['edge-1', 'edge-2'].map((id) =>
    line(0, id, 'retry_allowance', { ratio: 0.5, extra: 1, windowMs: 10_000 }),
  ),
  ...[0, 1, 2, 3].map((i) =>
    line(1_000 + i * 100, 'edge-1', 'answer', { service: 'desk', request: `r${i}`, ms: 90 }),
  ),
  ...retryLines('edge-1', 'r1', 1_100, 12_000),
  ...retryLines('edge-1', 'r2', 1_200, 11_950),
  ...retryLines('edge-2', 'r3', 13_000, 20),
  ...retryLines('edge-2', 'r4', 13_100, 20),
  line(13_200, 'edge-2', 'retry_sent', { service: 'other', request: 'r5', endpoint: 'i-2' }),
].join('\n');

describe('reportRetries', () => {
  it('counts the retries of all hosts in the worst window, by send and by arrival', () => {
    const report = reportRetries(parseLog(LOG));
    const [desk] = report.services;
    assert.deepEqual([desk?.sent.retries, desk?.sent.allowed], [2, 1]);
    assert.deepEqual([desk?.arrived.retries, desk?.arrived.allowed], [4, 1]);
    matchSnapshot('retries', formatRetries(report));
  });

  it('reports no allowance for a log of other processes', () => {
    assert.equal(formatRetries(reportRetries([])), 'no allowance of retries in the logs');
  });
});
