/** Rendezvous hashing (Thaler and Ravishankar, 1998): each key has its own order of the ids. */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** Orders ids by a key. An added or removed id changes the first choice only of the keys that it wins. */
export function rendezvousOrder(key: number, ids: readonly string[]): readonly string[] {
  return ids
    .map((id) => ({ id, weight: h32(id, key) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** 32-bit hash of a text. */
export function hashText(text: string): number {
  return h32(text);
}

/** Weight of an id for a key, both hashed already: the last rounds of murmur3, as this is on a hot path. */
export function mixHashes(key: number, id: number): number {
  /* eslint-disable no-bitwise -- hashing needs bitwise operators */
  let h = key ^ id;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}
