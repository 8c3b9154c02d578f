/** Controller: sends orders to engines, so that they hold the models, adapters and roles of the configuration. */
export * from './EngineReconciler.js';
export * from './orders/index.js';
export * from './runController.js';
export * from './settings/index.js';
