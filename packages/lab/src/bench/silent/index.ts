/** The benchmark `silent`: open connections stop carrying data. */
export * from './silent.js';
