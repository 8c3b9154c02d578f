/** Command-line interface of `sardinegrade-lab`. */
export * from './runLab.js';
