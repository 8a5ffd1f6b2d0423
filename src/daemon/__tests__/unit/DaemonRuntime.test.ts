import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import path from 'node:path';
import { describe, it } from 'node:test';
import { waitForAbort } from '../../DaemonRuntime.js';

/**
 * A process that logs 40 MB at once, then reports on standard error how long that took and how many lines were
 * dropped.
 */
const PROGRAM = `
import { createRuntime } from '${path.resolve('src/daemon/DaemonRuntime.ts')}';
const runtime = createRuntime('h', 'entry', 'info');
const text = 'x'.repeat(1000);
const begun = performance.now();
for (let i = 0; i < 40; i += 1) {
  for (let j = 0; j < 1000; j += 1) runtime.log.info({ text });
  await new Promise((resolve) => setTimeout(resolve, 1));
}
const ms = performance.now() - begun;
const dropped = await runtime.registry.getSingleMetricAsString('laburnumgauge_log_lines_dropped_total');
process.stderr.write(JSON.stringify({ ms, dropped: Number(dropped.trim().split(' ').at(-1)) }) + '\\n');
process.kill(process.pid, 'SIGKILL');
`;

describe('the log', () => {
  // If the reader of the log stops reading, the pipe is full. Callers must not notice: lines are dropped and counted,
  // and no write waits for the reader.
  it('never waits for its reader, and counts the lines that it drops', async () => {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', '--input-type=module', '--eval', PROGRAM],
      // Standard output is a pipe that nobody reads.
      { stdio: ['ignore', 'pipe', 'pipe'] },
    );
    const report = await new Promise<string>((resolve) => {
      let text = '';
      child.stderr.on('data', (data: Buffer) => {
        text += data.toString();
        if (text.includes('\n')) {
          resolve(text);
        }
      });
    });
    child.kill('SIGKILL');
    const { dropped } = JSON.parse(report) as { readonly dropped: number };
    assert.ok(dropped > 30_000, `${dropped} of 40,000 dropped`);
  });
});

describe('waitForAbort', () => {
  // A process may be told to stop while it is still starting, and listen to the signal only afterwards. If that
  // signal were missed, it would be killed by force with callers' streams in progress.
  it('resolves when the signal aborted before the call', async () => {
    const early = new AbortController();
    early.abort();
    await waitForAbort(early.signal);
    const later = new AbortController();
    const waiting = waitForAbort(later.signal);
    later.abort();
    await waiting;
  });
});
