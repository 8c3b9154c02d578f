/** Exchange of load messages with other VMs. */
export * from './LoadReporter.js';
