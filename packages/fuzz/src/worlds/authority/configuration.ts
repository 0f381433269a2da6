/** The configuration that the world's operators edit: one service whose targets have the sidecars. */
import type { Configuration } from '@cassiamast/coordination';
import { TargetKind, parseMemberId } from '@cassiamast/coordination';
import { FAILURE_DOMAINS, SIDECAR_IDS } from './simulation.js';

/** A configuration in which something differs by `variant`. */
export function configurationOf(variant: number): Configuration {
  const targets = SIDECAR_IDS.map((id, index) => ({
    name: `target-${String(index)}`,
    failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? '',
    sidecar: parseMemberId(id),
    backend: { host: '127.0.0.1', port: 8_000 + index },
    checksFencing: index % 2 === 0,
    withdrawn: false,
  }));
  const service = {
    name: 'service',
    kind: TargetKind.ModelEngine,
    dependsOn: [],
    models: [],
    calls: [],
    targets,
    goals: { firstTokenMs: 360, interTokenMs: 80 },
    floorTargets: 1,
    rolesMayChange: true,
    priority: variant,
    deadlineMs: 60_000,
    retryBudgetRatio: 0.1,
  };
  const limits = {
    answerRetentionMs: 600_000,
    maxPromptTokens: 32_768,
    maxOutputTokens: 4_096,
    maxBodyBytes: 1_048_576,
    drainMs: 30_000,
  };
  return { services: [service], workspaces: [], limits };
}
