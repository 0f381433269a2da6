/**
 * Finds where in the text a value stands: the line and column of a path in a parsed document.
 */
import { isMap, isNode, isScalar, isSeq, type Document, type LineCounter, type Node } from 'yaml';
import type { Failure } from '@cassiamast/coordination';
import { pathText, type TextFault, type TextPath, type TextPosition } from './fault.js';

/** A parsed document with the index of its lines. */
export interface PlacedDocument {
  readonly document: Document.Parsed;
  readonly lines: LineCounter;
}

interface Found {
  readonly node: Node | null;
  /** Offset of the key that led to the node, where it is a mapping's value. */
  readonly keyOffset: number | null;
}

function step(from: Node | null, part: string | number): Found | null {
  if (isSeq(from) && typeof part === 'number') {
    const item = from.items[part];
    return isNode(item) ? { node: item, keyOffset: null } : null;
  }
  if (!isMap(from)) return null;
  for (const pair of from.items) {
    if (!isScalar(pair.key) || String(pair.key.value) !== String(part)) continue;
    return {
      node: isNode(pair.value) ? pair.value : null,
      keyOffset: pair.key.range?.[0] ?? null,
    };
  }
  return null;
}

/** The offset of the value, of its key, or of the nearest value around it that is there. */
function offsetOf(document: Document.Parsed, path: TextPath, atKey: boolean): number {
  let node: Node | null = document.contents;
  let offset = node?.range?.[0] ?? 0;
  for (const [index, part] of path.entries()) {
    const found = step(node, part);
    if (found === null) return offset;
    const last = index === path.length - 1;
    const valueOffset = found.node?.range?.[0] ?? null;
    offset = (last && atKey ? found.keyOffset : null) ?? valueOffset ?? found.keyOffset ?? offset;
    node = found.node;
  }
  return offset;
}

/** Line and column of an offset. */
export function positionAt(lines: LineCounter, offset: number): TextPosition {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(1, line), column: Math.max(1, col) };
}

/** Puts a failure at its place. */
export function placeFault(
  { document, lines }: PlacedDocument,
  failure: Failure,
  path: TextPath,
  atKey: boolean,
): TextFault {
  const position = positionAt(lines, offsetOf(document, path, atKey));
  return { ...failure, ...position, path: pathText(path) };
}
