import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import { promisify } from 'node:util';
import { deflateRaw } from 'node:zlib';
import fc from 'fast-check';
import { pack } from 'msgpackr';
import {
  applyCommand,
  applyConfigDelta,
  deltasSince,
  EMPTY_CONFIG,
  EMPTY_CONTROL,
  type ControlState,
} from '../../../../state/index.js';
import { entriesOfDocument, textOfDocument } from '../../DirectDocument.js';

const deflate = promisify(deflateRaw);

const ROUTES = 1_700;

/** Traffic that control may cause per host, in bytes per minute: 16 KB a second. */
const BUDGET_BYTES_PER_MINUTE = 960_000;

/** Changes that follow each other each third of a second, as in a roll-out by a pipeline. */
const CHANGES_PER_MINUTE = 180;

function randomName(seed: number): string {
  return createHash('sha256').update(`${seed}`).digest('hex').slice(0, 10);
}

/** A document whose routes are as different as random names make them; `changed` is the place of an edited route. */
function documentOf(version: number, changed: number): string {
  const routes = Array.from({ length: ROUTES }, (_item, i) => ({
    name: `r-${randomName(i)}`,
    path: `/${randomName(i + ROUTES)}/`,
    timeoutMs: 8_000,
    service: i === changed ? `moved-${version}` : 'writers',
  }));
  return JSON.stringify({ version, routes });
}

function replace(state: ControlState, version: number, text: string): ControlState {
  const command = {
    kind: 'replace' as const,
    fleet: 'f',
    version,
    digest: `${version}`,
    entries: entriesOfDocument(text),
  };
  return applyCommand(state, command, state.index + 1).state;
}

async function wireBytes(value: unknown): Promise<number> {
  return (await deflate(pack(value))).length;
}

describe('entries of a document', () => {
  it('hold exactly its text', () => {
    const text = fc.oneof(
      fc.string({ unit: 'binary', maxLength: 20_000 }),
      fc.array(fc.constantFrom('{"a":1},', '☃', '𝒳', ' '), { maxLength: 12_000 }),
    );
    fc.assert(
      fc.property(text, (sample) => {
        const whole = Array.isArray(sample) ? sample.join('') : sample;
        assert.equal(textOfDocument(entriesOfDocument(whole)) ?? '', whole);
      }),
      { seed: 20_261_203, numRuns: 100 },
    );
  });

  // Guards against entry hosts that fall behind in a series of changes, as each one is sent as a whole document.
  it('let a minute of changes of a large document keep to the budget of a minute', async () => {
    const full = replace(EMPTY_CONTROL, 1, documentOf(1, -1));
    let bytes = await wireBytes(deltasSince(full, 0));
    let held = applyConfigDelta(EMPTY_CONFIG, {
      from: 0,
      to: 1,
      set: full.config.entries,
      del: [],
    });
    let state = full;
    for (let version = 2; version <= CHANGES_PER_MINUTE; version += 1) {
      const text = documentOf(version, (version * 997) % ROUTES);
      const before = state.config.index;
      state = replace(state, version, text);
      const deltas = deltasSince(state, before);
      // eslint-disable-next-line no-await-in-loop
      bytes += await wireBytes(deltas);
      held = deltas.reduce((last, delta) => applyConfigDelta(last.state, delta), held);
      assert.equal(held.result, 'applied');
      assert.equal(textOfDocument(held.state.entries), text);
    }
    assert.ok(bytes < BUDGET_BYTES_PER_MINUTE, `${bytes} bytes`);
  });

  it('are read as earlier builds wrote them', async () => {
    const packed = (await deflate('{"version":1}')).toString('base64');
    assert.equal(textOfDocument({ document: packed }), '{"version":1}');
    assert.equal(textOfDocument({}), null);
  });

  it('are refused if a part is missing', () => {
    const entries = entriesOfDocument(documentOf(1, -1));
    const [first = ''] = Object.keys(entries).filter((key) => key.includes('chunk'));
    const rest = Object.entries(entries).filter(([key]) => key !== first);
    assert.throws(() => textOfDocument(Object.fromEntries(rest)), /missing/);
  });
});
