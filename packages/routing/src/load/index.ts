/** Exchange of load reports between VMs: the load that other VMs put on the engines. */
export * from './computeReportInterval.js';
export * from './DataCentreMonitor.js';
export * from './enums.js';
export * from './listRelays.js';
export * from './LoadGossip.js';
export * from './SharedLoadView.js';
export type * from './types.js';
