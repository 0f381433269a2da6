/**
 * Resolves a path in a parsed document to the line and column in its source text.
 */
import { isMap, isNode, isScalar, isSeq, type Document, type LineCounter, type Node } from 'yaml';
import type { Failure } from '@cassiamast/coordination';
import { pathText, type TextFault, type TextPath, type TextPosition } from './fault.js';

/** A parsed document with the line index of its source text. */
export interface IndexedDocument {
  readonly document: Document.Parsed;
  readonly lines: LineCounter;
}

interface ChildNode {
  readonly node: Node | null;
  /** Offset of the node's key, or null if the parent is a list. */
  readonly keyOffset: number | null;
}

function findChild(from: Node | null, part: string | number): ChildNode | null {
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

/**
 * Returns the offset of the value or its key, or that of the nearest enclosing value that exists.
 */
function offsetOf(document: Document.Parsed, path: TextPath, atKey: boolean): number {
  let node: Node | null = document.contents;
  let offset = node?.range?.[0] ?? 0;
  for (const [index, part] of path.entries()) {
    const child = findChild(node, part);
    if (child === null) return offset;
    const isLast = index === path.length - 1;
    const valueOffset = child.node?.range?.[0] ?? null;
    offset = (isLast && atKey ? child.keyOffset : null) ?? valueOffset ?? child.keyOffset ?? offset;
    node = child.node;
  }
  return offset;
}

/** Converts an offset to a 1-based line and column. */
export function positionAt(lines: LineCounter, offset: number): TextPosition {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(1, line), column: Math.max(1, col) };
}

/** Adds line, column and formatted path to a failure. */
export function locateFault(
  { document, lines }: IndexedDocument,
  failure: Failure,
  path: TextPath,
  atKey: boolean,
): TextFault {
  const position = positionAt(lines, offsetOf(document, path, atKey));
  return { ...failure, ...position, path: pathText(path) };
}
