/** Network addresses, `ip:port`. */

/** A parsed address. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses `ip:port`, for IPv6 `[::1]:80`; undefined if the text isn't an address. */
export function parseAddress(text: string): Address | undefined {
  const match =
    /^(?:\[(?<six>[0-9a-fA-F:.]+)\]|(?<four>\d{1,3}(?:\.\d{1,3}){3})):(?<port>\d{1,5})$/.exec(text);
  const port = Number(match?.groups?.port);
  const host = match?.groups?.six ?? match?.groups?.four;
  return host !== undefined && port <= 65_535 ? { host, port } : undefined;
}
