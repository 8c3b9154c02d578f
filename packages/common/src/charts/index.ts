/** State charts: JSON files that are interpreted once, at start, into tables of transitions. */
export * from './buildChartTable.js';
