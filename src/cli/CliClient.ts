/** Client of the administration API. Any control process can answer; if one can't, the next is tried. */
import { request } from 'undici';
import * as z from 'zod';

const TIMEOUT_MS = 8_000;

/** An answer of the API. */
export interface ApiReply {
  readonly status: number;
  readonly body: unknown;
}

/** Thrown if no control process answered. */
export class CliClientError extends Error {
  constructor(failures: readonly string[]) {
    super(`no control process answered:\n  ${failures.join('\n  ')}`);
    this.name = 'CliClientError';
  }
}

/** Calls the API at the first address that answers. Returns a 503 only if no later address gives another status. */
export async function callApi(
  addresses: readonly string[],
  method: 'GET' | 'POST',
  path: string,
  body?: string,
): Promise<ApiReply> {
  const attempt = async (
    remaining: readonly string[],
    failures: readonly string[],
    last: ApiReply | null,
  ): Promise<ApiReply> => {
    const [address, ...others] = remaining;
    if (address === undefined) {
      if (last !== null) {
        return last;
      }
      throw new CliClientError(failures);
    }
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        ...(body === undefined ? {} : { body }),
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const reply = { status: response.statusCode, body: await response.body.json() };
      return reply.status === 503 ? await attempt(others, failures, reply) : reply;
    } catch (err) {
      return attempt(others, [...failures, `${address}: ${(err as Error).message}`], last);
    }
  };
  return attempt(addresses, [], null);
}

/** Parses addresses that are separated by commas. Throws a `ZodError` if `text` is undefined. */
export function parseAddresses(text: string | undefined): readonly string[] {
  return z
    .string({ error: 'give --api or LABURNUMGAUGE_API, ip:port[,ip:port]' })
    .parse(text)
    .split(',')
    .filter((part) => part !== '');
}
