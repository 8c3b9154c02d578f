/** Order in which queued requests are sent to engines. */
export * from './computePriorityRank.js';
export * from './rankWaiting.js';
export * from './selectTries.js';
