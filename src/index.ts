/** The library: the pure decisions and the values they work on, to be driven by any bench. */
export * as coordination from './coordination/index.js';
export * as protocol from './protocol/index.js';
export * as state from './state/index.js';
