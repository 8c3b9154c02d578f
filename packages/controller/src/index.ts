/** The controller: gives engines the orders that the configuration asks for. */
export * from './OrderKeeper.js';
export * from './orders/index.js';
export * from './runController.js';
export * from './settings/index.js';
