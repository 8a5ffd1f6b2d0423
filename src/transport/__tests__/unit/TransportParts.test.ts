import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { PartsSender, withParts, type TransportLink } from '../../index.js';

describe('PartsSender', () => {
  // Ten configurations are queued within a second, but the rate allows one per second. Callers would be served with
  // older ones for ten seconds, though the newest one replaces them all: queued messages must be merged.
  it('merges queued messages with later ones', async () => {
    const sent: unknown[] = [];
    const link = { notify: (_method: string, params: unknown) => sent.push(params) };
    const sender = new PartsSender(link as unknown as TransportLink, () => 0);
    const merge = (_waiting: number, next: number): number => next;
    sender.notifyMerged('config', 0, merge);
    await delay(5);
    for (let i = 1; i <= 10; i += 1) {
      sender.notifyMerged('config', i, merge);
    }
    sender.notifyMerged('config', 99, () => null);
    await delay(20);
    assert.deepEqual(sent, [0, 10, 99]);
  });
});

describe('withParts', () => {
  // While a process moves from one hub to another, both send it a configuration. If their parts were mixed, neither
  // would arrive, and callers would be served with an older one.
  it('keeps the parts of two links separate', async () => {
    const links = ['a', 'b'].map((name) => ({ name }) as unknown as TransportLink);
    const sent = await Promise.all(
      links.map(async (_link, i) => {
        const parts: unknown[] = [];
        const link = { notify: (_method: string, params: unknown) => parts.push(params) };
        const text = Array.from({ length: 4_000 }, (_none, n) => (n * 7_919 + i) % 8_191).join(' ');
        new PartsSender(link as unknown as TransportLink, () => 0).notify('config', text);
        const isWhole = (): boolean =>
          parts.length > 0 && parts.length === (parts[0] as { parts: number }).parts;
        for (let waited = 0; !isWhole() && waited < 10_000; waited += 10) {
          // eslint-disable-next-line no-await-in-loop
          await delay(10);
        }
        return { text, parts };
      }),
    );
    const got: unknown[] = [];
    const handlers = withParts({ config: (text) => got.push(text) });
    const most = Math.max(...sent.map(({ parts }) => parts.length));
    for (let n = 0; n < most; n += 1) {
      // eslint-disable-next-line no-await-in-loop
      await Promise.all(
        links.map(async (link, i) => {
          const part = sent[i]?.parts[n];
          return part === undefined ? undefined : handlers['link.part']?.(part, link);
        }),
      );
    }
    assert.ok(most > 1);
    assert.deepEqual(new Set(got), new Set(sent.map(({ text }) => text)));
  });

  // Guards against members that disappear: a list of all of them would be taken as newer than the change after it.
  it('passes on a large message before a small one that was sent after it', async () => {
    const sent: [string, unknown][] = [];
    const link = { notify: (...message: [string, unknown]) => sent.push(message) };
    const sender = new PartsSender(link as unknown as TransportLink, () => 0);
    const full = Array.from({ length: 4_000 }, (_none, n) => (n * 7_919) % 8_191).join(' ');
    sender.notify('directory', full);
    sender.notify('directory', 'change');
    for (let waited = 0; sent.at(-1)?.[1] !== 'change' && waited < 10_000; waited += 10) {
      // eslint-disable-next-line no-await-in-loop
      await delay(10);
    }
    const got: unknown[] = [];
    const handlers = withParts({ directory: (text) => got.push(text) });
    const results = sent.map(([method, params]) =>
      handlers[method]?.(params, link as unknown as TransportLink),
    );
    await Promise.all(results);
    assert.deepEqual(got, [full, 'change']);
  });
});
