/**
 * Parses untrusted YAML into plain data with limits on size, nesting and token count. Rejects
 * aliases and multiple documents, and never throws.
 */
import { err, ok, type Result } from 'neverthrow';
import { isAlias, isScalar, Lexer, LineCounter, parseDocument, visit, type Document } from 'yaml';
import type { Failure } from '@cassiamast/coordination';
import type { TextFault } from '../faults/fault.js';
import {
  ALIAS_USED,
  DUPLICATE,
  NESTED_TOO_DEEP,
  SYNTAX,
  TEXT_TOO_LARGE,
  TOO_MANY_TOKENS,
} from '../faults/failures.js';
import { positionAt, type IndexedDocument } from '../faults/locate.js';
import { quoted } from '../quantities/quantity.js';
import { MAX_NESTING_DEPTH, MAX_TEXT_BYTES, MAX_TOKENS } from './limits.js';

/** A parsed document together with its plain data. */
export interface ParsedText extends IndexedDocument {
  readonly raw: unknown;
}

const TEXT_START = { line: 1, column: 1 };

function faultAt(lines: LineCounter, offset: number, failure: Failure): TextFault {
  return { ...failure, ...positionAt(lines, offset), path: '' };
}

/** Parses the text, or reports all syntax faults. */
export function parseText(text: string): Result<ParsedText, readonly TextFault[]> {
  const sizeBytes = Buffer.byteLength(text, 'utf8');
  if (sizeBytes > MAX_TEXT_BYTES) {
    const failure = TEXT_TOO_LARGE.of({ sizeBytes, maxBytes: MAX_TEXT_BYTES });
    return err([{ ...failure, ...TEXT_START, path: '' }]);
  }
  const tooComplexFault = complexityFault(text);
  if (tooComplexFault !== null) return err([tooComplexFault]);
  const lines = new LineCounter();
  const document = parseDocument(text, {
    lineCounter: lines,
    prettyErrors: false,
    // The library's own check compares all pairs of keys; duplicateFields runs in linear time.
    uniqueKeys: false,
  });
  const faults = [
    ...syntaxFaults(document, lines),
    ...aliasFaults(document, lines),
    ...duplicateFields(document, lines),
  ];
  if (faults.length > 0) return err(faults);
  return ok({ document, lines, raw: document.toJS({ maxAliasCount: 0 }) as unknown });
}

/**
 * Rejects two kinds of small text that would block or crash the process. A megabyte of "[" or "- "
 * nests half a million levels, which makes the recursive parser throw a RangeError. A megabyte of
 * invalid tokens keeps the parser busy for many seconds. The lexer neither recurses nor collects
 * errors, so it can detect both cases before the parser runs.
 */
function complexityFault(text: string): TextFault | null {
  let flowDepth = 0;
  let lineIndicators = 0;
  let atLineStart = true;
  let offset = 0;
  let tokens = 0;
  for (const token of new Lexer().lex(text)) {
    if (token === '[' || token === '{') flowDepth += 1;
    if (token === ']' || token === '}') flowDepth = Math.max(0, flowDepth - 1);
    // Block collections nest by indentation or within one line, as in "- - - a".
    if (token === '\n') lineIndicators = 0;
    if (token === '-' || token === '?') lineIndicators += 1;
    const indentLevels = atLineStart && /^ +$/.test(token) ? token.length / 2 : 0;
    if (Math.max(flowDepth, lineIndicators, indentLevels) > MAX_NESTING_DEPTH) {
      return faultBeforeParsing(text, offset, NESTED_TOO_DEEP.of({ maxDepth: MAX_NESTING_DEPTH }));
    }
    tokens += 1;
    if (tokens > MAX_TOKENS) {
      return faultBeforeParsing(text, offset, TOO_MANY_TOKENS.of({ maxTokens: MAX_TOKENS }));
    }
    atLineStart = token === '\n';
    offset += token.length;
  }
  return null;
}

function faultBeforeParsing(text: string, offset: number, failure: Failure): TextFault {
  const precedingLines = text.slice(0, offset).split('\n');
  const position = {
    line: precedingLines.length,
    column: (precedingLines.at(-1)?.length ?? 0) + 1,
  };
  return { ...failure, ...position, path: '' };
}

function syntaxFaults(document: Document.Parsed, lines: LineCounter): TextFault[] {
  const problems = [...document.errors, ...document.warnings];
  return problems.map(({ message, pos }) =>
    faultAt(lines, pos[0], SYNTAX.of({ detail: quoted(message) })),
  );
}

function duplicateFields(document: Document.Parsed, lines: LineCounter): TextFault[] {
  const faults: TextFault[] = [];
  visit(document, {
    Map: (_, { items }) => {
      const seen = new Set<string>();
      for (const { key } of items) {
        if (!isScalar(key)) continue;
        const field = String(key.value);
        if (seen.has(field)) {
          const data = { what: 'field', value: quoted(field), first: 'this mapping' };
          faults.push(faultAt(lines, key.range?.[0] ?? 0, DUPLICATE.of(data)));
        }
        seen.add(field);
      }
    },
  });
  return faults;
}

function aliasFaults(document: Document.Parsed, lines: LineCounter): TextFault[] {
  const faults: TextFault[] = [];
  visit(document, (_, node) => {
    if (isAlias(node)) {
      const failure = ALIAS_USED.of({ alias: quoted(node.source) });
      faults.push(faultAt(lines, node.range?.[0] ?? 0, failure));
    }
  });
  return faults;
}
