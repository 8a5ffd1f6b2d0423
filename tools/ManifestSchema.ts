/** Writes the manifest's JSON Schema from its zod schema; with `--check` checks that the file is up to date. */
import { readFile, writeFile } from 'node:fs/promises';
import * as z from 'zod';
import { manifestSchema } from '../src/protocol/index.js';

const FILE = new URL('../manifests/manifest.schema.json', import.meta.url);

const schema = z.toJSONSchema(manifestSchema, { io: 'input' });
const text = `${JSON.stringify(schema, null, 2)}\n`;
if (!process.argv.includes('--check')) {
  await writeFile(FILE, text);
} else if (JSON.stringify(JSON.parse(await readFile(FILE, 'utf8'))) !== JSON.stringify(schema)) {
  throw new Error('manifests/manifest.schema.json is out of date: run npm run schema');
}
