/**
 * The operators' command line. All commands are read-only except `apply`, which changes the
 * configuration text, and `show` and `timeline`, which can write their output to a file.
 */
import Apply from './commands/apply.js';
import Check from './commands/check.js';
import Diff from './commands/diff.js';
import History from './commands/history.js';
import Show from './commands/show.js';
import Status from './commands/status.js';
import Timeline from './commands/timeline.js';
import Watch from './commands/watch.js';

/** The commands by name, for oclif. */
export const COMMANDS = {
  apply: Apply,
  check: Check,
  diff: Diff,
  history: History,
  show: Show,
  status: Status,
  timeline: Timeline,
  watch: Watch,
};
export { ExitCode } from './core/process/exit-code.js';
