/** Stores a document as one configuration entry, compressed because it is sent to each process as a whole. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { ConfigEntries } from '../../protocol/index.js';

/** Fleet name of everything that a document declares. */
export const DIRECT_FLEET = 'direct';

const DOCUMENT_KEY = 'document';

/**
 * Configuration entries that hold a document. It is compressed synchronously: some 100 KB take 1 to 2 ms, a few times
 * a minute.
 */
export function entriesOfDocument(text: string): ConfigEntries {
  // eslint-disable-next-line n/no-sync
  return { [DOCUMENT_KEY]: deflateRawSync(text).toString('base64') };
}

/** The document in a configuration's entries; null if there is none. */
export function textOfDocument(entries: ConfigEntries): string | null {
  const packed = entries[DOCUMENT_KEY];
  return typeof packed === 'string'
    ? // eslint-disable-next-line n/no-sync
      inflateRawSync(Buffer.from(packed, 'base64')).toString('utf8')
    : null;
}
