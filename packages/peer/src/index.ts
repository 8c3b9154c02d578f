/** Messages and services between daemons, generated from the files in `proto/`. */
export * from './fleet/index.js';
export * as DispatchProtocol from './generated/dispatch.js';
export * as FleetProtocol from './generated/fleet.js';
export * as LoadProtocol from './generated/load.js';
