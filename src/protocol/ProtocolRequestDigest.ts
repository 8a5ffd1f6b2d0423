/** What makes two requests the same. */
import { createHash } from 'node:crypto';

/** A request without what is new each time it is sent: its id, deadline, connection and place to resume. */
export interface RequestIdentity {
  /** Customer's name; empty where the route needs no key. */
  readonly customer: string;
  readonly method: string;
  readonly host: string;
  /** Path with its query. */
  readonly path: string;
  readonly body: Buffer;
}

/** Hexadecimal digits of a digest: 128 bits, which nobody can find a second request for. */
const DIGEST_DIGITS = 32;

/**
 * Digest of a request. The customer is a part of it, so that what one customer sends never stands for
 * another's. Each part is preceded by its length: parts that are cut elsewhere make another request.
 */
export function digestRequest(identity: RequestIdentity): string {
  const { customer, method, host, path, body } = identity;
  const hash = createHash('sha256');
  [customer, method, host.toLowerCase(), path].forEach((part) => {
    hash.update(`${Buffer.byteLength(part)}:`).update(part);
  });
  return hash.update(body).digest('hex').slice(0, DIGEST_DIGITS);
}

/** Whether two requests are the same, without a digest of either. */
export function isSameRequest(a: RequestIdentity, b: RequestIdentity): boolean {
  return (
    a.customer === b.customer &&
    a.method === b.method &&
    a.path === b.path &&
    a.host.toLowerCase() === b.host.toLowerCase() &&
    a.body.equals(b.body)
  );
}
