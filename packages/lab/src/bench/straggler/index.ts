/** The benchmark `straggler`: one slow engine and delayed load reports. */
export * from './straggler.js';
