/** The benchmark `control`: the cost of membership and configuration. */
export * from './control.js';
