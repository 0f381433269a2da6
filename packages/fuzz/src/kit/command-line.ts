/**
 * The fuzzer's command line.
 */
import { parseArgs } from 'node:util';
import type { ReplayPoint } from './runner.js';

/** What the command line asks for. */
export interface FuzzArguments {
  readonly world: string;
  readonly seed: number;
  readonly runs: number;
  readonly commands: number;
  readonly mutant: string | null;
  readonly replay: ReplayPoint | null;
  readonly shrinks: boolean;
  readonly listMutants: boolean;
}

/** Runs of a command line that says nothing else. */
const DEFAULT_RUNS = '100';
const DEFAULT_COMMANDS = '100';

/** Separates fast-check's two coordinates in `--replay`. */
const REPLAY_SEPARATOR = '@';

/** Reads the arguments after the program's name. */
export function readArguments(args: readonly string[]): FuzzArguments {
  const { values } = parseArgs({
    args: [...args],
    options: {
      world: { type: 'string', default: 'all' },
      seed: { type: 'string', default: '1' },
      runs: { type: 'string', default: DEFAULT_RUNS },
      commands: { type: 'string', default: DEFAULT_COMMANDS },
      mutant: { type: 'string' },
      replay: { type: 'string' },
      'no-shrink': { type: 'boolean', default: false },
      'list-mutants': { type: 'boolean', default: false },
    },
  });
  return {
    world: values.world,
    seed: Number(values.seed),
    runs: Number(values.runs),
    commands: Number(values.commands),
    mutant: values.mutant ?? null,
    replay: values.replay === undefined ? null : parseReplay(values.replay),
    shrinks: !values['no-shrink'],
    listMutants: values['list-mutants'],
  };
}

/** The command that shows a violation again. */
export function replayCommand(world: string, args: FuzzArguments, replay: ReplayPoint): string {
  const mutant = args.mutant === null ? '' : ` --mutant ${args.mutant}`;
  const point = `${replay.path}${REPLAY_SEPARATOR}${replay.commandsPath}`;
  const numbers = `--seed ${String(args.seed)} --runs 1 --commands ${String(args.commands)}`;
  return `npm run fuzz -- --world ${world} ${numbers}${mutant} --replay '${point}'`;
}

function parseReplay(text: string): ReplayPoint {
  const [path = '', commandsPath = ''] = text.split(REPLAY_SEPARATOR);
  return { path, commandsPath };
}
