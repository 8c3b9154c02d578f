/** The command line of `sardinegrade-lab`. */
export * from './runLab.js';
