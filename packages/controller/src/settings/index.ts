/** Settings of the controller. */
export * from './controllerSettings.js';
