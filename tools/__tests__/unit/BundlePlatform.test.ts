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

  // Libraries of both module formats end up in one file. Where that breaks, the program can't even be
  // loaded, and every host of the platform is down: it must come as far as missing settings.
  ROLES.forEach((role) => {
    it(`load, and say what their settings lack: ${role}`, async () => {
      const failed = await run(process.execPath, [`target/bundle/Platform${role}.js`], {
        env: { PATH: process.env.PATH },
      }).catch((err: unknown) => err as { code: number; stderr: string });
      assert.ok('code' in failed);
      assert.equal(failed.code, 2);
      assert.match(failed.stderr, /LABURNUMGAUGE_SETTINGS: is required/);
    });
  });

  // Hundreds of hosts beside engines run the endpoint's program in little memory. An import in the wrong place
  // brings it the libraries of other roles, several megabytes each in every process.
  it('hold no libraries of other roles', async () => {
    const { stdout } = await run('grep', ['-l', 'iconv-lite\\|koa-compose', '-r', 'target/bundle']);
    assert.deepEqual(stdout.trim().split('\n').sort(), [
      'target/bundle/PlatformControl.js',
      'target/bundle/PlatformEntry.js',
    ]);
  });
});
