/** Client of the administration API: any control process answers; the next is tried if one can't. */
import { request } from 'undici';
import * as z from 'zod';

const TIMEOUT_MS = 8_000;

/** An answer of the API. */
export interface ApiReply {
  readonly status: number;
  readonly body: unknown;
}

/** Thrown when no control process could be asked. */
export class CliClientError extends Error {
  constructor(failures: readonly string[]) {
    super(`no control process answered:\n  ${failures.join('\n  ')}`);
    this.name = 'CliClientError';
  }
}

/** Asks the API at the first address that answers. A 503 is passed on only if all say so. */
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

/** Reads the setting of the API's addresses. */
export function parseAddresses(text: string | undefined): readonly string[] {
  return z
    .string({ error: 'give --api or LABURNUMGAUGE_API, ip:port[,ip:port]' })
    .parse(text)
    .split(',')
    .filter((part) => part !== '');
}
