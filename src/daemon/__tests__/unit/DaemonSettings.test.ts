import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { openSnapshots } from '../../../__tests__/utils/TestSnapshot.js';
import { FindingsError, formatFinding, type Role } from '../../../protocol/index.js';
import { checkSettings, type RawSettings } from '../../DaemonSettings.js';

const matchSnapshot = openSnapshots(import.meta.url);

function findingsOf(role: Role, raw: RawSettings): readonly string[] {
  try {
    checkSettings(role, raw);
    return [];
  } catch (err) {
    assert.ok(err instanceof FindingsError);
    return err.findings.map(formatFinding);
  }
}

const BASE = { id: 'e1', zone: 'ikeja', http: '127.0.0.1:80', control: 'c1=127.0.0.1:7000' };

describe('checkSettings', () => {
  it('accepts valid settings', () => {
    matchSnapshot(
      'endpoint',
      checkSettings('endpoint', {
        ...BASE,
        engine: 'http://127.0.0.1:9000',
        fleet: 'f',
        service: 's',
        group: 'g',
        ranks: '4-7',
      }),
    );
  });

  it('reports all findings together, with flag and environment variable', () => {
    matchSnapshot('nothing given', findingsOf('control', {}));
    matchSnapshot(
      'all wrong',
      findingsOf('endpoint', {
        id: 'E 1',
        zone: 'ikeja',
        http: 'localhost:80',
        control: 'c1=127.0.0.1:7000,nonsense',
        engine: 'ftp://x',
        fleet: 'f',
        slots: '0',
        ranks: '7-4',
        'log-level': 'loud',
      }),
    );
    matchSnapshot(
      'control not listed',
      findingsOf('control', {
        ...BASE,
        link: '127.0.0.1:7001',
        'data-folder': 'd',
      }),
    );
  });
});
