/** The benchmark `overload`: demand above the capacity of the engines. */
export * from './overload.js';
