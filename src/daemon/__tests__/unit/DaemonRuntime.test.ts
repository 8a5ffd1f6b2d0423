import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import path from 'node:path';
import { describe, it } from 'node:test';
import { waitForAbort } from '../../DaemonRuntime.js';

/** A process that logs 40 MB at once, then tells on its error output how long that took, and the drops. */
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
  // Whoever reads the log stops reading, so the pipe is full. Callers must not notice: lines are dropped
  // and counted, and no write waits for the reader.
  it('never waits for its reader, and counts what it drops', async () => {
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

describe('aborted', () => {
  // A process is told to stop while it is still starting, and listens to the signal only afterwards. It
  // must leave all the same, or it is killed by force with callers' streams on it.
  it('counts a signal that came before anyone listened', async () => {
    const early = new AbortController();
    early.abort();
    await waitForAbort(early.signal);
    const later = new AbortController();
    const waiting = waitForAbort(later.signal);
    later.abort();
    await waiting;
  });
});
