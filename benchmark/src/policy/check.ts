/**
 * Regression bounds. Figures of the virtual clock are exact for a seed, so a bound has little
 * slack: one that is broken shows a change of policy, wanted or not.
 */
import { readFileSync } from 'node:fs';
import type { Hash32 } from '@cassiamast/coordination';
import { parse } from 'yaml';
import { rowOf } from './compare.js';
import type { PolicyFigures } from './compare.js';
import { OURS } from './policies.js';
import { runService } from './run.js';
import { makeTrace } from './traces.js';

/** Bounds of our policy on one trace. */
export interface TraceBounds {
  readonly minGoodputPerS: number;
  readonly maxRoleChanges: number;
  readonly maxTtftP95Ms: number;
  readonly maxInterTokenP95Ms: number;
  readonly maxShedNotRun: number;
  readonly maxWorstWorkspaceWaitRatio: number;
}

/** The file of bounds. */
export interface PolicyBounds {
  readonly seed: number;
  /** Traces that are quick enough for every submission. */
  readonly quick: readonly string[];
  readonly traces: Readonly<Record<string, TraceBounds>>;
}

/** Where the bounds are, from the compiled module. */
const BOUNDS_FILE = new URL('../../../bounds.yaml', import.meta.url);

/** Reads the bounds of the policy benchmark. */
export function readPolicyBounds(): PolicyBounds {
  const file = parse(readFileSync(BOUNDS_FILE, 'utf8')) as { readonly policy: PolicyBounds };
  return file.policy;
}

/** Plays our policy on a trace. */
export function playOurs(name: string, seed: number, hash32: Hash32): PolicyFigures | null {
  const trace = makeTrace(name, seed, 1);
  if (trace === null) return null;
  return rowOf(
    OURS.name,
    trace.services.map((service) => runService(service, OURS, hash32, seed)),
  );
}

/** Says which bounds the figures break; empty when none. */
export function brokenBounds(figures: PolicyFigures, bounds: TraceBounds): readonly string[] {
  const checks: readonly (readonly [string, number, number])[] = [
    ['goodputPerS', bounds.minGoodputPerS - figures.goodputPerS, figures.goodputPerS],
    ['roleChanges', figures.roleChanges - bounds.maxRoleChanges, figures.roleChanges],
    ['ttftP95Ms', figures.ttftP95Ms - bounds.maxTtftP95Ms, figures.ttftP95Ms],
    [
      'interTokenP95Ms',
      figures.interTokenP95Ms - bounds.maxInterTokenP95Ms,
      figures.interTokenP95Ms,
    ],
    ['shedNotRun', figures.shedNotRun - bounds.maxShedNotRun, figures.shedNotRun],
    [
      'worstWorkspaceWaitRatio',
      figures.worstWorkspaceWaitRatio - bounds.maxWorstWorkspaceWaitRatio,
      figures.worstWorkspaceWaitRatio,
    ],
  ];
  return checks
    .filter(([, excess]) => excess > 0)
    .map(([name, excess, value]) => `${name} is ${value.toFixed(2)}, ${excess.toFixed(2)} beyond`);
}
