/** What operators configured: routes, services, keys and limits. */
export * from './chooseService.js';
export * from './enums.js';
export * from './RouteTable.js';
export type * from './types.js';
