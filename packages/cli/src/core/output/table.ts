/**
 * Formats plain-text tables for the terminal.
 */

const COLUMN_GAP = '  ';

/** Aligns rows under their headings; each column is as wide as its widest cell. */
export function table(headings: readonly string[], rows: readonly (readonly string[])[]): string[] {
  const widths = headings.map((heading, column) =>
    rows.reduce((widest, row) => Math.max(widest, row[column]?.length ?? 0), heading.length),
  );
  return [headings, ...rows].map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}
