/** Types of the operator's configuration (routes, services, keys, limits) and the lookups on it. */
export * from './chooseService.js';
export * from './enums.js';
export * from './RouteTable.js';
export type * from './types.js';
