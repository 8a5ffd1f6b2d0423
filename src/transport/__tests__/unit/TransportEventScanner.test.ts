import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { EventAssembler, EventScanner, MAX_EVENT_BYTES } from '../../index.js';

const SEED = 79;

const textArb = fc
  .array(fc.constantFrom('\n', '\n\n', ':', 'a', ': c\n', 'data: b\n\n'), { maxLength: 30 })
  .map((parts) => parts.join(''));

/** The last complete event of a text that has a line which is neither empty nor a comment. */
function lastWithContent(text: string): string | null {
  const events = text.match(/[^]*?\n\n/g) ?? [];
  const hasContent = (event: string): boolean =>
    event.split('\n').some((line) => line !== '' && !line.startsWith(':'));
  return events.findLast(hasContent) ?? null;
}

/** Scans chunks of the given size; returns what was found of each, with offsets into the whole text. */
function scanInChunks(text: string, size: number): readonly (readonly [number, string | null])[] {
  const scanner = new EventScanner();
  const found: (readonly [number, string | null])[] = [];
  for (let at = 0; at < text.length; at += size) {
    const { count, last } = scanner.scan(Buffer.from(text.slice(at, at + size)));
    found.push([count, last === null ? null : text.slice(at + last.start, at + last.end)]);
  }
  return found;
}

/** Bytes that count how often one of them is looked at. */
function countingBytes(bytes: Buffer): { readonly bytes: Buffer; readonly reads: () => number } {
  let reads = 0;
  const proxy = new Proxy(bytes, {
    get: (target, key) => {
      reads += Number(typeof key === 'string' && /^\d+$/.test(key));
      const value: unknown = Reflect.get(target, key, target);
      return typeof value === 'function' ? (value as () => unknown).bind(target) : value;
    },
  });
  return { bytes: proxy, reads: () => reads };
}

describe('EventScanner', () => {
  it('finds the last event with content in chunks of any size', () => {
    fc.assert(
      fc.property(textArb, fc.integer({ min: 1, max: 40 }), (text, size) => {
        const found = scanInChunks(text, size);
        const last = found.findLast(([, event]) => event !== null)?.[1] ?? null;
        assert.equal(last, lastWithContent(text));
        const count = found.reduce((sum, [events]) => sum + events, 0);
        assert.equal(count, (text.match(/[^]*?\n\n/g) ?? []).length);
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });

  // Guards against work for each event or line, which an engine that sends only ends of lines makes as many as bytes.
  ['\n', '\n\n', ':\n\n', ':', 'data: x\n\n', 'x'].forEach((pattern) => {
    it(`looks at each byte at most twice: ${JSON.stringify(pattern)}`, () => {
      const text = pattern.repeat(2_000);
      [1, 7, 1_000, text.length].forEach((size) => {
        const scanner = new EventScanner();
        let reads = 0;
        for (let at = 0; at < text.length; at += size) {
          const counting = countingBytes(Buffer.from(text.slice(at, at + size)));
          scanner.scan(counting.bytes);
          reads += counting.reads();
        }
        assert.ok(reads <= 2 * text.length, `${reads} of ${text.length} bytes`);
      });
    });
  });
});

describe('EventAssembler', () => {
  // Guards against bytes that are no event and never end, but look like events.
  ['\n\n', ': c\n\n', ':\n', 'x'].forEach((pattern) => {
    it(`takes no more bytes without an event than one may have: ${JSON.stringify(pattern)}`, () => {
      const assembler = new EventAssembler();
      const chunk = Buffer.from(pattern.repeat(1_000));
      let bytes = 0;
      while (!assembler.isOverlong && bytes < 2 * MAX_EVENT_BYTES) {
        assembler.add(chunk);
        bytes += chunk.length;
      }
      assert.ok(bytes > MAX_EVENT_BYTES && bytes <= MAX_EVENT_BYTES + chunk.length);
    });
  });

  it('counts anew after each event', () => {
    const assembler = new EventAssembler();
    const comments = Buffer.from(': c\n\n'.repeat(50_000));
    for (let i = 0; i < 20; i += 1) {
      assembler.add(comments);
      assembler.add(Buffer.from(`id: ${i}\n\n`));
      assert.equal(assembler.isOverlong, false);
    }
  });
});
