/** `npm run bench -- scheduling`: one scheduler under loads around and beyond what engines can do. */
import { parseArgs } from 'node:util';
import { SCHEDULER_OPTIONS } from '@cassiamast/coordination';
import { type PlayFigures, playScheduling } from './play.js';

const MS_PER_S = 1000;

/** Runs the command. */
export function runSchedulingCommand(args: readonly string[]): number {
  const { values } = parseArgs({
    args: [...args],
    options: {
      engines: { type: 'string', default: '8,31,128' },
      gateways: { type: 'string', default: '24' },
      loads: { type: 'string', default: '1,1.5,2.5' },
      seconds: { type: 'string', default: '20' },
      seed: { type: 'string', default: '1' },
      // Part of the engines that make tokens which name a rate limit, and the limit.
      'limited-share': { type: 'string', default: '0' },
      'limit-per-s': { type: 'string', default: '3' },
    },
  });
  const rows: (PlayFigures & { readonly engines: number; readonly load: number })[] = [];
  process.stdout.write(
    'engines load requests on-time late unserved us/request longest-us waiting connections limit-used crossings\n',
  );
  for (const engines of values.engines.split(',').map(Number)) {
    for (const load of values.loads.split(',').map(Number)) {
      const durationMs = Number(values.seconds) * MS_PER_S;
      const workload = {
        engines,
        gateways: Number(values.gateways),
        load,
        durationMs,
        seed: Number(values.seed),
      };
      const limits = {
        share: Number(values['limited-share']),
        perS: Number(values['limit-per-s']),
      };
      const figures = playScheduling(workload, SCHEDULER_OPTIONS, limits);
      rows.push({ engines, load, ...figures });
      process.stdout.write(`${[engines, load, ...Object.values(figures)].join(' ')}\n`);
    }
  }
  process.stdout.write(`${JSON.stringify({ benchmark: 'scheduling', rows })}\n`);
  return 0;
}
