/**
 * Plain tables for the terminal.
 */

const GAP = '  ';

/** Aligns rows under their headings; columns are as wide as their widest cell. */
export function table(headings: readonly string[], rows: readonly (readonly string[])[]): string[] {
  const widths = headings.map((heading, column) =>
    rows.reduce((widest, row) => Math.max(widest, row[column]?.length ?? 0), heading.length),
  );
  return [headings, ...rows].map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(GAP)
      .trimEnd(),
  );
}
