/**
 * The demo's edits of the operators' text. They change the text as an operator would, by hand.
 */

const DRAIN_LINE = /^( *drain:).*$/m;

/** The text with another time to drain. */
export function withDrain(text: string, drain: string): string {
  return text.replace(DRAIN_LINE, `$1 ${drain}`);
}

/** The text with a target withdrawn; unchanged when it names no such target. */
export function withWithdrawn(text: string, target: string): string {
  const place = new RegExp(`^( *)- name: ${target}$(?:\\n\\1  .*$)*`, 'm');
  return text.replace(place, (entry, indent: string) => `${entry}\n${indent}  withdrawn: true`);
}
