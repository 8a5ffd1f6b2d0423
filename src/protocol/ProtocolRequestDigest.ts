/** Identity of requests: which parts make two requests the same. */
import { createHash } from 'node:crypto';

/** A request without the parts that change each time it is sent: id, deadline, connection and resume position. */
export interface RequestIdentity {
  /** Customer's name; empty if the route needs no key. */
  readonly customer: string;
  readonly method: string;
  readonly host: string;
  /** Path with query string. */
  readonly path: string;
  readonly body: Buffer;
  /** Ids of the parts of its prompt that other requests may share; absent where there are none. */
  readonly sharedParts?: readonly string[];
}

/** Hexadecimal digits of a digest: 128 bits, too many to find another request with the same digest. */
const DIGEST_DIGITS = 32;

/**
 * Digest of a request. It covers the customer, so that requests of two customers never have the same digest. Each part
 * is preceded by its length, so that the same bytes split into other parts give another digest.
 */
export function digestRequest(identity: RequestIdentity): string {
  const { customer, method, host, path, body } = identity;
  const hash = createHash('sha256');
  [customer, method, host.toLowerCase(), path].forEach((part) => {
    hash.update(`${Buffer.byteLength(part)}:`).update(part);
  });
  return hash.update(body).digest('hex').slice(0, DIGEST_DIGITS);
}

/** Digest of a part of prompts, whoever sends it. */
export function digestPromptPart(id: string): string {
  return createHash('sha256').update(`prompt part ${id}`).digest('hex').slice(0, DIGEST_DIGITS);
}

/** Compares two requests without computing digests. */
export function isSameRequest(a: RequestIdentity, b: RequestIdentity): boolean {
  return (
    a.customer === b.customer &&
    a.method === b.method &&
    a.path === b.path &&
    a.host.toLowerCase() === b.host.toLowerCase() &&
    a.body.equals(b.body)
  );
}
