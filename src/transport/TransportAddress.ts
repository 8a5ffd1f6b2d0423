/** Addresses, `ip:port`. */

/** An address in parts. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits `ip:port`; undefined if it isn't one. IPv6 is written `[::1]:80`. */
export function parseAddress(text: string): Address | undefined {
  const match =
    /^(?:\[(?<six>[0-9a-fA-F:.]+)\]|(?<four>\d{1,3}(?:\.\d{1,3}){3})):(?<port>\d{1,5})$/.exec(text);
  const port = Number(match?.groups?.port);
  const host = match?.groups?.six ?? match?.groups?.four;
  return host !== undefined && port <= 65_535 ? { host, port } : undefined;
}
