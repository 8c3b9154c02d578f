/** Client of model engines: attempts, commands, load reports, cache events and probes. */
export * from './AnswerReader.js';
export * from './EngineClient.js';
export * from './enums.js';
export * from './prefixBlocks.js';
export type * from './types.js';
