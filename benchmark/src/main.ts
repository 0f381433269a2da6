/**
 * `npm run bench -- <what>`: runs one benchmark. Each is loaded only when it is asked for, so that
 * one that measures memory is not charged for the others.
 */

/** Benchmarks by name; each takes the arguments after its name and gives the exit code. */
const BENCHMARKS: Readonly<Record<string, () => Promise<(args: readonly string[]) => unknown>>> = {
  policy: async () => (await import('./policy/command.js')).runPolicyCommand,
  path: async () => (await import('./path/path.js')).runPath,
  control: async () => (await import('./control/command.js')).runControlCommand,
  scheduling: async () => (await import('./scheduling/command.js')).runSchedulingCommand,
  check: async () => (await import('./policy/check-command.js')).runCheckCommand,
};

const USAGE = `Usage: npm run bench -- <benchmark> [options]

  policy   goodput and role changes on seeded traces, on a virtual clock
           --seed N [--trace NAME] [--policy NAME] [--scale K] [--json] [--report FILE] [--cost]
           --same-mix: the bound may not prefer short requests
  path     what the way through entry and sidecar costs, against calling the engine directly
           [--seconds N] [--base-port N] [--profile]
  control  what membership and configuration cost per member, by size of the fleet
           [--pure] [--quiet-s N] [--base-port N] [--sizes 14,140,1140] [--loss RATIO] [--seed N]
  scheduling  what one scheduler of engines serves and costs, on a virtual clock
           [--engines 8,31,128] [--gateways N] [--loads 1,1.5,2.5] [--seconds N] [--seed N]
  check    the exact figures of the virtual clock against benchmark/bounds.yaml
`;

async function main(args: readonly string[]): Promise<number> {
  const [name, ...rest] = args;
  const load = name === undefined ? undefined : BENCHMARKS[name];
  if (load === undefined) {
    process.stdout.write(USAGE);
    return name === undefined ? 0 : 2;
  }
  const run = await load();
  return Number((await run(rest)) ?? 0);
}

process.exitCode = await main(process.argv.slice(2));
