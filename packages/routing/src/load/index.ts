/** What other VMs have sent to the engines. */
export * from './SharedLoadView.js';
