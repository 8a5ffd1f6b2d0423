/**
 * Stores a document as configuration entries: its text in chunks under their digests, and their order. A change of a
 * large document then is a small delta, as chunks that stay the same aren't sent again.
 */
import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { ConfigEntries } from '../../protocol/index.js';

/** Fleet name of everything that a document declares. */
export const DIRECT_FLEET = 'direct';

/** Key of a document that is stored as a whole, as earlier builds did. */
const WHOLE_KEY = 'document';

const ORDER_KEY = 'document/order';

const CHUNK_PREFIX = 'document/chunk/';

const MIN_CHUNK_BYTES = 3_072;
const MAX_CHUNK_BYTES = 8_192;

/**
 * A chunk ends where these bits of the rolling hash are zero. Most of a document repeats, and only the names in it
 * differ, so boundaries are rarer than the number of bits suggests.
 */
const BOUNDARY_MASK = 2 ** 7 - 1;

/** Multiplier that spreads byte values over 32 bits (the golden ratio). */
const HASH_MULTIPLIER = 0x9e3779b1;

const DIGEST_BYTES = 9;

/** Compression window: a whole chunk, 2 to this power in bytes. */
const CHUNK_WINDOW_BITS = 13;

/**
 * End of the chunk that begins at an offset. It depends on the 32 bytes before it only, so that text which was inserted
 * or removed changes the chunks around it and no others.
 */
function chunkEnd(data: Buffer, start: number): number {
  const limit = Math.min(data.length, start + MAX_CHUNK_BYTES);
  let hash = 0;
  for (let at = start; at < limit; at += 1) {
    // eslint-disable-next-line no-bitwise
    hash = ((hash << 1) + Math.imul((data[at] ?? 0) + 1, HASH_MULTIPLIER)) | 0;
    // eslint-disable-next-line no-bitwise
    if (at - start >= MIN_CHUNK_BYTES && (hash & BOUNDARY_MASK) === 0) {
      return at + 1;
    }
  }
  return limit;
}

function splitChunks(data: Buffer): readonly Buffer[] {
  const chunks: Buffer[] = [];
  let start = 0;
  while (start < data.length) {
    const end = chunkEnd(data, start);
    chunks.push(data.subarray(start, end));
    start = end;
  }
  return chunks;
}

function digestOf(chunk: Buffer): string {
  return createHash('sha256')
    .update(chunk)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString('base64url');
}

function compress(chunk: Buffer): string {
  // eslint-disable-next-line n/no-sync
  return deflateRawSync(chunk, { windowBits: CHUNK_WINDOW_BITS }).toString('base64');
}

function decompress(packed: string): Buffer {
  // eslint-disable-next-line n/no-sync
  return inflateRawSync(Buffer.from(packed, 'base64'));
}

/** Configuration entries that hold a document. */
export function entriesOfDocument(text: string): ConfigEntries {
  const chunks = splitChunks(Buffer.from(text)).map((chunk) => [digestOf(chunk), chunk] as const);
  return {
    [ORDER_KEY]: chunks.map(([digest]) => digest),
    ...Object.fromEntries(
      chunks.map(([digest, chunk]) => [`${CHUNK_PREFIX}${digest}`, compress(chunk)]),
    ),
  };
}

function readChunk(entries: ConfigEntries, digest: string): Buffer {
  const packed = entries[`${CHUNK_PREFIX}${digest}`];
  if (typeof packed !== 'string') {
    throw new Error(`chunk ${digest} of the document is missing`);
  }
  return decompress(packed);
}

/** Identity of the document in a configuration's entries: equal for equal documents; null if there is none. */
export function documentKey(entries: ConfigEntries): string | null {
  const whole = entries[WHOLE_KEY];
  const order = entries[ORDER_KEY];
  if (typeof whole === 'string') {
    return whole;
  }
  return Array.isArray(order) ? order.join(' ') : null;
}

/**
 * The document in a configuration's entries; null if there is none.
 *
 * @throws Error if a part of it is missing.
 */
export function textOfDocument(entries: ConfigEntries): string | null {
  const whole = entries[WHOLE_KEY];
  if (typeof whole === 'string') {
    return decompress(whole).toString('utf8');
  }
  const order = entries[ORDER_KEY];
  if (!Array.isArray(order)) {
    return null;
  }
  const chunks = order.map((digest) => readChunk(entries, String(digest)));
  return Buffer.concat(chunks).toString('utf8');
}
