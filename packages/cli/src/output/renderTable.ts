const COLUMN_GAP = '  ';

const EMPTY_CELL = '-';

const toCell = (text: string): string => (text === '' ? EMPTY_CELL : text.replace(/\s/g, ' '));

/**
 * Renders a table with aligned columns.
 *
 * @param headings - headings of the columns
 * @param rows - rows with one cell for each heading; an empty cell is shown as a dash
 * @returns the table without a trailing line break
 */
export const renderTable = (
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const lines = [headings, ...rows.map((row) => row.map(toCell))];
  const widths = headings.map((_heading, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  const renderLine = (line: readonly string[]): string =>
    line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP);
  return lines.map((line) => renderLine(line).trimEnd()).join('\n');
};
