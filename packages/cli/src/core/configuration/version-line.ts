/**
 * Writes and parses the comment line that `show` puts before a text. It tells `apply` which version
 * the text was edited from, and is not stored with the text.
 */

const LINE_PATTERN = /^# cassiamast: edited from version (\d{1,15})\b.*\r?\n?/m;

/** A text and the version it was edited from. */
export interface EditedText {
  /** The text without the version line. */
  readonly text: string;
  /** Null when the text has no version line. */
  readonly baseVersion: number | null;
}

/** Returns the text with the version line before it. */
export function withVersionLine(text: string, version: number): string {
  const line = `# cassiamast: edited from version ${String(version)}; "apply" needs this line`;
  return `${line}\n${text}`;
}

/** Splits an edited text into its version line and the remaining text. */
export function readVersionLine(edited: string): EditedText {
  const match = LINE_PATTERN.exec(edited);
  if (match === null) return { text: edited, baseVersion: null };
  const text = edited.slice(0, match.index) + edited.slice(match.index + match[0].length);
  return { text, baseVersion: Number(match[1]) };
}
