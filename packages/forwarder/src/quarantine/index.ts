/** Refuses requests with prompt parts that crash workers. */
export * from './isPortClosed.js';
export * from './PartQuarantine.js';
