/** Exchange of small shared states between VMs in messages that may be lost. */
export * from './ChangeSchedule.js';
