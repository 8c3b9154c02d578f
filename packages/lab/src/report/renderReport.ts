import { renderAttainmentChart, renderFirstTokenChart, renderOutcomeChart } from './charts.js';

import type { ReportContent, ReportTable } from './types.js';

const STYLE =
  'body{font:15px system-ui,sans-serif;margin:2rem auto;max-width:1000px;color:#222}' +
  'table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .6rem;text-align:right}' +
  'td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f4f4f4}';

const ROUNDING_FACTOR = 10_000;

const HTML_ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

const escapeHtml = (text: string): string =>
  text.replace(/[&<>"]/g, (character) => HTML_ESCAPES[character] ?? character);

const formatCell = (cell: string | number): string =>
  typeof cell === 'string'
    ? escapeHtml(cell)
    : String(Math.round(cell * ROUNDING_FACTOR) / ROUNDING_FACTOR);

const renderTable = ({ title, columns, rows }: ReportTable): string => {
  const head = columns.map((column) => `<th>${escapeHtml(column)}</th>`).join('');
  const body = rows
    .map((row) => `<tr>${row.map((cell) => `<td>${formatCell(cell)}</td>`).join('')}</tr>`)
    .join('\n');
  return `<h2>${escapeHtml(title)}</h2>\n<table><tr>${head}</tr>\n${body}</table>`;
};

/**
 * Renders a report as a single self-contained HTML page: inline styles and charts, no scripts.
 *
 * @param content - the tables to show, and the runs to chart
 * @returns the HTML document
 */
export const renderReport = (content: ReportContent): string => {
  const { runs } = content;
  const charts =
    runs.length === 0
      ? []
      : [renderFirstTokenChart(runs), renderAttainmentChart(runs), renderOutcomeChart(runs)];
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    `<title>${escapeHtml(content.title)}</title><style>${STYLE}</style></head><body>`,
    `<h1>${escapeHtml(content.title)}</h1>`,
    ...content.tables.map(renderTable),
    ...charts.map((svg) => `<figure>${svg}</figure>`),
    '</body></html>',
    '',
  ].join('\n');
};
