/**
 * The comment that `show` puts before a text, so that `apply` knows from which version it was
 * edited. It is not stored with the text.
 */

const LINE_PATTERN = /^# cassiamast: edited from version (\d{1,15})\b.*\r?\n?/m;

/** A text and the version that it was edited from. */
export interface EditedText {
  /** The text without the line. */
  readonly text: string;
  /** Null when the text carries no such line. */
  readonly baseVersion: number | null;
}

/** Puts the line before a text. */
export function withVersionLine(text: string, version: number): string {
  const line = `# cassiamast: edited from version ${String(version)}; "apply" needs this line`;
  return `${line}\n${text}`;
}

/** Takes the line off a text. */
export function readVersionLine(edited: string): EditedText {
  const match = LINE_PATTERN.exec(edited);
  if (match === null) return { text: edited, baseVersion: null };
  const text = edited.slice(0, match.index) + edited.slice(match.index + match[0].length);
  return { text, baseVersion: Number(match[1]) };
}
