/** Order in which queued requests are sent to engines. */
export * from './computePriorityRank.js';
export * from './computeRoomShare.js';
export * from './isEngineFull.js';
export * from './rankWaiting.js';
export * from './RankTable.js';
export * from './selectTries.js';
export * from './WorkspaceWork.js';
