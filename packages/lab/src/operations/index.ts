/** The product as an operator meets it: real daemons and the command line. */
export * from './runCommand.js';
export * from './TestFleet.js';
