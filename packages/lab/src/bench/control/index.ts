/** The bench `control`. */
export * from './control.js';
