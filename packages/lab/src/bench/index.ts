/** The table of all benches; a new one is registered here. */
import type { Bench } from './runner/index.js';

export * from './runner/index.js';

export const BENCHES: readonly Bench[] = [];
