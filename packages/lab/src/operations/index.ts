/** Tests of the operator's workflow, with real daemons and the command-line tool. */
export * from './runCommand.js';
export * from './TestFleet.js';
