/** Files of the data folder that are read as a whole and replaced atomically. */
import { open, readFile, rename } from 'node:fs/promises';
import path from 'node:path';

/** Makes created, renamed and removed names in a folder durable. */
export async function syncDirectory(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file: after a crash or loss of power either the old content or the new one is complete. */
export async function writeSynced(file: string, data: Uint8Array): Promise<void> {
  const temporary = `${file}.new`;
  const handle = await open(temporary, 'w');
  try {
    await handle.writeFile(data);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, file);
  await syncDirectory(path.dirname(file));
}

/** Content of a file, empty if it doesn't exist. Rejects on any other error. */
export async function readIfExists(file: string): Promise<Buffer> {
  try {
    return await readFile(file);
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ENOENT') {
      return Buffer.alloc(0);
    }
    throw err;
  }
}
