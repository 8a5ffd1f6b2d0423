import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { SUSPECT_RETENTION_MS } from '../../../coordination/index.js';
import { DaemonQuarantine } from '../../DaemonQuarantine.js';

describe('DaemonQuarantine', () => {
  // Suspects are forgotten ten minutes after the crash. If their customer still counted as one with suspects, each of
  // its requests would be hashed forever, with nothing to compare it with.
  it('reports no suspects for a customer once they have expired', () => {
    let now = 0;
    const runtime = { now: () => now, log: pino({ level: 'silent' }) };
    const quarantine = new DaemonQuarantine({ runtime, publish: () => undefined });
    const lost = { digest: 'a', customer: 'kano', parts: [], request: 'r1' };
    quarantine.recordSuspects('i-1@1', [lost], 0);
    assert.ok(quarantine.hasSuspects('kano'));
    now = SUSPECT_RETENTION_MS;
    quarantine.tick();
    assert.ok(!quarantine.hasSuspects('kano'));
  });
});
