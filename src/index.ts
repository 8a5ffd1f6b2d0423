/** The library: pure decision functions and their data types, for use by any test bench. */
export * as coordination from './coordination/index.js';
export * as protocol from './protocol/index.js';
export * as state from './state/index.js';
