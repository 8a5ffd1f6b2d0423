import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { describe, it } from 'node:test';
import { openSnapshots } from '../../../__tests__/utils/TestSnapshot.js';
import { FindingsError, formatFinding, parseManifest, parseManifestQuickly } from '../../index.js';

const matchSnapshot = openSnapshots(import.meta.url);

function findingsOf(text: string): readonly string[] {
  try {
    parseManifestQuickly(text);
    return [];
  } catch (err) {
    assert.ok(err instanceof FindingsError);
    return err.findings.map(formatFinding);
  }
}

describe('parseManifest', () => {
  it('reads the sample manifests', async () => {
    const read = async (file: string) =>
      parseManifest(
        await readFile(new URL(`../../../../manifests/${file}`, import.meta.url), 'utf8'),
      );
    matchSnapshot('stockdesk', await read('stockdesk.yaml'));
    matchSnapshot('drafting', await read('drafting.yaml'));
  });

  it('reports all findings together, each with line and column', () => {
    const text = [
      'fleet: Stock Desk',
      'version: 0',
      'availabilityZones: [{ name: ikeja, region: lagos-west }]',
      'services:',
      '  - { name: a, kind: model, model: missing, skewWeight: 3 }',
      '  - { name: b, kind: plain, path: lookup }',
      '  - { name: b, kind: batch }',
      'customers: []',
      'colour: red',
    ].join('\n');
    matchSnapshot('findings', findingsOf(text));
  });

  it('reports problems that concern several parts of the manifest', () => {
    const text = [
      'fleet: stockdesk',
      'version: 1',
      'availabilityZones: [{ name: ikeja, region: lagos-west }]',
      'models: [{ name: m }]',
      'services:',
      '  - name: a',
      '    kind: model',
      '    model: m',
      '    groups: [{ name: g, ranks: 2, layers: 1, experts: 32, slotsPerRank: 8 }]',
      '  - { name: a, kind: model, model: m }',
      'customers: [{ name: c }, { name: c }]',
    ].join('\n');
    matchSnapshot('cross findings', findingsOf(text));
  });

  it('reads JSON like YAML, with findings at the same positions', () => {
    const manifest = {
      fleet: 'f',
      version: 1,
      availabilityZones: [{ name: 'z', region: 'r' }],
      services: [{ name: 's', kind: 'plain', path: '/s' }],
      customers: [{ name: 'c' }],
    };
    const json = JSON.stringify(manifest, null, 2);
    assert.deepEqual(parseManifestQuickly(json), parseManifest(json));
    matchSnapshot('json findings', findingsOf(json.replace('"/s"', '"s"')));
  });

  it('reports a YAML syntax error with its position', () => {
    matchSnapshot('syntax', findingsOf('fleet: [a\nversion: 1'));
  });
});
