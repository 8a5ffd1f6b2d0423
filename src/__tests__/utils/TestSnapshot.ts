/** Snapshots for `node:test` with jest-snapshot, since Node 20 has none of its own. */
import { after } from 'node:test';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { SnapshotState, toMatchSnapshot } from 'jest-snapshot';

/** Compares a value with the snapshot of that name; fails if it differs or, without UPDATE_SNAPSHOTS=1, is new. */
export type MatchSnapshot = (name: string, value: unknown) => void;

/** Opens the snapshots of a test file, and saves them after its tests. */
export function openSnapshots(testUrl: string): MatchSnapshot {
  const testPath = fileURLToPath(testUrl);
  const { dir, base } = path.parse(testPath);
  const snapshotState = new SnapshotState(path.join(dir, '__snapshots__', `${base}.snap`), {
    updateSnapshot: process.env.UPDATE_SNAPSHOTS === '1' ? 'all' : 'none',
    prettierPath: null,
    rootDir: dir,
    snapshotFormat: { escapeString: false, printBasicPrototype: false },
  });
  after(() => snapshotState.save());
  return (name, value) => {
    const context = { snapshotState, currentTestName: name, isNot: false, promise: '' };
    const result = toMatchSnapshot.call(context as never, value) as {
      readonly pass: boolean;
      readonly message: () => string;
    };
    if (!result.pass) {
      throw new Error(result.message());
    }
  };
}
