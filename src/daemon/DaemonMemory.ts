/** What a process may hold for its clients, by the memory of its host. */

/** Memory that a process takes before it holds anything: code, the heap, and buffers that wait for the collector. */
const OVERHEAD_BYTES = 150_000_000;

/** What is held at least, however little memory there is, in bytes. */
const MIN_HELD_BYTES = 16_777_216;

/** Maximum number of bytes held where the memory isn't limited. */
const DEFAULT_HELD_BYTES = 134_217_728;

/**
 * Number of bytes that one kind of data may take; `share` is its part of the memory beyond the overhead of a process.
 * `memoryBytes` is null where the memory isn't limited.
 */
export function heldBytesOf(memoryBytes: number | null, share: number): number {
  return memoryBytes === null
    ? DEFAULT_HELD_BYTES
    : Math.max(MIN_HELD_BYTES, (memoryBytes - OVERHEAD_BYTES) * share);
}
