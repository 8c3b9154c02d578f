/** What VMs tell each other about their work. */
export * from './LoadReporter.js';
