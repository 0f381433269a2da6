/**
 * `npm run demo`: plays a deployment's whole fleet on this machine. Exit codes: 0 every promise
 * kept, 1 one broken or the run failed, 2 wrong usage, 130 interrupted.
 */
import { readOptions, USAGE } from './options.js';
import type { Processes } from './processes.js';
import { runDemo } from './run.js';
import { promisesKept } from './tally.js';

enum ExitCode {
  Kept = 0,
  Failed = 1,
  Usage = 2,
  Interrupted = 130,
}

const options = readOptions(process.argv.slice(2));
if (options === null) {
  console.error(USAGE);
  process.exit(ExitCode.Usage);
}

let processes: Processes | null = null;
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => {
    void stop(ExitCode.Interrupted);
  });
}

try {
  const result = await runDemo(options, (started) => {
    processes = started;
  });
  console.log(JSON.stringify(result));
  process.exit(promisesKept(result) ? ExitCode.Kept : ExitCode.Failed);
} catch (error) {
  console.error(error);
  await stop(ExitCode.Failed);
}

async function stop(code: ExitCode): Promise<never> {
  await processes?.stopAll();
  process.exit(code);
}
