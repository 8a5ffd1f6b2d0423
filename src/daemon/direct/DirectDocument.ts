/** A document as one configuration entry: compressed, for it travels to each process whole. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { ConfigEntries } from '../../protocol/index.js';

/** Fleet of everything that a document declares. */
export const DIRECT_FLEET = 'direct';

/** A document of some 100 KB takes a ms or two, a few times a minute: not worth another turn. */
const DOCUMENT_KEY = 'document';

/** Entries that hold a document. */
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
