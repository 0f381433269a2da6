/**
 * Writes docs/API.md from the doc comments of the library's public face: one line for each export,
 * by subsystem. Run `node scripts/api-page.mjs` after a change of the exports or their comments; a
 * test compares the committed page with what this makes.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import ts from 'typescript';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const SOURCE = join(ROOT, 'packages', 'coordination', 'src');
const INDEX = join(SOURCE, 'index.ts');
const PAGE = join(ROOT, 'docs', 'API.md');
const BEGIN = '<!-- exports: written by scripts/api-page.mjs -->';

const KINDS = new Map([
  [ts.SyntaxKind.FunctionDeclaration, 'function'],
  [ts.SyntaxKind.InterfaceDeclaration, 'interface'],
  [ts.SyntaxKind.TypeAliasDeclaration, 'type'],
  [ts.SyntaxKind.EnumDeclaration, 'enum'],
  [ts.SyntaxKind.ClassDeclaration, 'class'],
  [ts.SyntaxKind.VariableDeclaration, 'constant'],
]);

/** The first sentence of a doc comment, on one line. */
function firstSentence(comment) {
  const plain = comment
    .replace(/\{@link (\w+)\}/g, '$1')
    .replace(/\s+/g, ' ')
    .trim();
  return /^(.*?[.;])(?:\s|$)/.exec(plain)?.[1].replace(/;$/, '.') ?? plain;
}

function commentOf(symbol, checker) {
  return ts.displayPartsToString(symbol.getDocumentationComment(checker));
}

/** Every export: its name, kind, subsystem and first sentence. */
export function readExports() {
  const program = ts.createProgram([INDEX], {
    module: ts.ModuleKind.NodeNext,
    moduleResolution: ts.ModuleResolutionKind.NodeNext,
    target: ts.ScriptTarget.ES2023,
    skipLibCheck: true,
    types: [],
  });
  const checker = program.getTypeChecker();
  const module = checker.getSymbolAtLocation(program.getSourceFile(INDEX));
  return checker.getExportsOfModule(module).map((exported) => {
    const symbol =
      exported.flags & ts.SymbolFlags.Alias ? checker.getAliasedSymbol(exported) : exported;
    const declaration = symbol.declarations[0];
    const path = relative(join(SOURCE, 'core'), declaration.getSourceFile().fileName);
    return {
      name: exported.name,
      kind: KINDS.get(declaration.kind) ?? 'value',
      subsystem: path.split('/')[0],
      sentence: firstSentence(commentOf(symbol, checker)),
    };
  });
}

/** The generated part of the page. */
export function exportsSection(exports) {
  const subsystems = [...new Set(exports.map(({ subsystem }) => subsystem))].sort();
  const lines = [BEGIN, ''];
  for (const subsystem of subsystems) {
    lines.push(`## ${subsystem}`, '');
    const own = exports.filter((each) => each.subsystem === subsystem);
    for (const { name, kind, sentence } of own.sort((a, b) => (a.name < b.name ? -1 : 1))) {
      lines.push(`- \`${name}\` (${kind}): ${sentence}`);
    }
    lines.push('');
  }
  return lines.join('\n');
}

/** The whole page: what stands before the mark is kept as it was written. */
export function apiPage() {
  const before = readFileSync(PAGE, 'utf8').split(BEGIN)[0];
  return before + exportsSection(readExports());
}

if (import.meta.url === pathToFileURL(process.argv[1]).href) writeFileSync(PAGE, apiPage());
