import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { before, describe, it } from 'node:test';
import { promisify } from 'node:util';

const run = promisify(execFile);

const ROLES = ['Control', 'Entry', 'Endpoint'];

describe('the bundled programs', () => {
  before(async () => {
    await run('npm', ['run', '--silent', 'build:platform']);
  });

  // CommonJS and ES module libraries are bundled together. If that breaks, the program can't be loaded on
  // any host of the platform. Each program must start far enough to report its missing settings.
  ROLES.forEach((role) => {
    it(`load, and report missing settings: ${role}`, async () => {
      const failed = await run(process.execPath, [`target/bundle/Platform${role}.js`], {
        env: { PATH: process.env.PATH },
      }).catch((err: unknown) => err as { code: number; stderr: string });
      assert.ok('code' in failed);
      assert.equal(failed.code, 2);
      assert.match(failed.stderr, /LABURNUMGAUGE_SETTINGS: is required/);
    });
  });

  // Hundreds of hosts with engines run the endpoint's program in little memory. A misplaced import would bundle
  // the libraries of other roles into it, several megabytes each in every process.
  it('contain no libraries of other roles', async () => {
    const { stdout } = await run('grep', ['-l', 'iconv-lite\\|koa-compose', '-r', 'target/bundle']);
    assert.deepEqual(stdout.trim().split('\n').sort(), [
      'target/bundle/PlatformControl-PlatformControlRole.js',
      'target/bundle/PlatformEntry-PlatformEntryRole.js',
    ]);
  });
});
