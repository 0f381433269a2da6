/**
 * Formats the view of the fleet as lines for the terminal, for `status` and `watch`.
 */
import { EngineRole, MemberState, type TargetStatus } from '@cassiamast/coordination';
import { table } from '../output/table.js';
import type { FleetView, ServiceRates, ServiceView } from './fleet-view.js';

const PERCENT = 100;
const MAX_LISTED = 6;

function listIds(ids: readonly string[]): string {
  const shown = ids.slice(0, MAX_LISTED).join(', ');
  const more = ids.length - MAX_LISTED;
  return more > 0 ? `${shown} and ${String(more)} more` : shown;
}

function memberLine({ membersByState, processes }: FleetView): string {
  const states = Object.values(MemberState).map(
    (state) => `${String(membersByState[state])} ${state}`,
  );
  return `members        ${states.join(', ')}; ${String(processes)} answered`;
}

function versionLines({ versions, doubtful, stopping }: FleetView): string[] {
  const [newest, ...older] = versions;
  if (newest === undefined) return ['configuration  nobody answered'];
  const spread =
    older.length === 0
      ? 'in force everywhere'
      : `in force at ${String(newest.processes.length)} processes`;
  return [
    `configuration  version ${String(newest.version)}, ${spread}`,
    ...older.map(
      ({ version, processes }) =>
        `               version ${String(version)} still at ${listIds(processes)}`,
    ),
    ...(doubtful.length === 0 ? [] : [`cut off        ${listIds(doubtful)}: no new work there`]),
    ...(stopping.length === 0 ? [] : [`stopping       ${listIds(stopping)}`]),
  ];
}

function mixText({ promptTokens, outputTokens }: ServiceView): string {
  const total = promptTokens + outputTokens;
  if (total === 0) return '-';
  const prefill = Math.round((promptTokens / total) * PERCENT);
  return `${String(prefill)} % prompt`;
}

function rolesText({ roles }: ServiceView): string {
  const parts = Object.values(EngineRole)
    .filter((role) => roles[role] > 0)
    .map((role) => `${String(roles[role])} ${role}`);
  return parts.length === 0 ? '-' : parts.join(', ');
}

function readyText({ readyAt, seenBy, reason }: ServiceView): string {
  if (readyAt === seenBy) return 'ready';
  const where = readyAt === 0 ? 'not ready' : `not ready at ${String(seenBy - readyAt)} entries`;
  return reason === '' ? where : `${where}: ${reason}`;
}

function authorityText({ authority, fence }: ServiceView): string {
  return authority === null ? '-' : `${authority} (fence ${String(fence ?? 0)})`;
}

function serviceTable(view: FleetView, rates: readonly ServiceRates[] | null): string[] {
  const byName = new Map(rates?.map((each) => [each.name, each]));
  const rate = (name: string, field: Exclude<keyof ServiceRates, 'name'>): string =>
    byName.get(name)?.[field].toFixed(1) ?? '-';
  const headings =
    rates === null
      ? ['answered', 'within goals', 'refused']
      : ['answers/s', 'goodput/s', 'tokens/s'];
  const rows = view.services.map((service) => [
    service.name,
    ...(rates === null
      ? [
          service.goodput.answered,
          service.goodput.answeredWithinGoals,
          service.goodput.refusedNotRun,
        ].map(String)
      : [
          rate(service.name, 'answeredPerS'),
          rate(service.name, 'goodputPerS'),
          rate(service.name, 'outputTokensPerS'),
        ]),
    mixText(service),
    rolesText(service),
    String(service.roleChanges),
    authorityText(service),
    readyText(service),
  ]);
  return table(['service', ...headings, 'mix', 'roles', 'changes', 'planner', 'state'], rows);
}

function targetRow(service: string, target: TargetStatus): string[] {
  const load =
    target.loadRatio === null ? '-' : `${String(Math.round(target.loadRatio * PERCENT))} %`;
  return [
    service,
    target.name,
    target.failureDomain,
    target.condition,
    target.role ?? '-',
    load,
    String(target.runningRequests),
    String(target.queuedRequests),
  ];
}

function targetTable({ services }: FleetView): string[] {
  const rows = services.flatMap(({ name, targets }) =>
    targets.map((target) => targetRow(name, target)),
  );
  const headings = [
    'service',
    'target',
    'failure domain',
    'state',
    'role',
    'load',
    'running',
    'queued',
  ];
  return rows.length === 0 ? [] : ['', ...table(headings, rows)];
}

function unreachableLines({ unreachable }: FleetView): string[] {
  return unreachable.map(({ memberId, reason }) => `not reached    ${memberId}: ${reason}`);
}

/** Formats the complete view, for `status`. */
export function statusLines(view: FleetView): string[] {
  return [
    memberLine(view),
    ...versionLines(view),
    ...unreachableLines(view),
    '',
    ...serviceTable(view, null),
    ...targetTable(view),
  ];
}

/** Formats the parts of the view that change often, with rates, for `watch`. */
export function watchLines(view: FleetView, rates: readonly ServiceRates[]): string[] {
  return [
    memberLine(view),
    ...versionLines(view),
    ...unreachableLines(view).slice(0, MAX_LISTED),
    '',
    ...serviceTable(view, rates),
  ];
}
