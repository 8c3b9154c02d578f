import type { BenchTable } from './types.js';

const ROUNDING_FACTOR = 10_000;

const formatCell = (cell: string | number): string => {
  if (typeof cell === 'string') return cell;
  return Number.isInteger(cell)
    ? String(cell)
    : String(Math.round(cell * ROUNDING_FACTOR) / ROUNDING_FACTOR);
};

/**
 * Formats a table as aligned text for a terminal.
 *
 * @param table - the table; numbers are rounded to four decimals
 * @returns the lines: title, header, rule, rows and an empty line
 */
export const formatTable = (table: BenchTable): readonly string[] => {
  const rows = [table.columns, ...table.rows.map((row) => row.map(formatCell))];
  const widths = table.columns.map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  const formatRow = (row: readonly string[]): string =>
    row
      .map((cell, column) => {
        const width = widths[column] ?? 0;
        return column === 0 ? cell.padEnd(width) : cell.padStart(width);
      })
      .join('  ')
      .trimEnd();
  const [head = [], ...body] = rows;
  const rule = '-'.repeat(widths.reduce((sum, width) => sum + width + 2, -2));
  return [table.title, formatRow(head), rule, ...body.map(formatRow), ''];
};
