/**
 * Moves a deployment onto one machine: each address of the operators' text becomes a port of the
 * loopback address, and every process of the fleet gets its settings. The demo starts them by
 * itself; docs/RUNNING.md starts the same ones by hand.
 */
import type { Configuration, TargetSpec } from '@cassiamast/coordination';
import { TargetKind } from '@cassiamast/coordination';
import { compileText } from '@cassiamast/config-text';
import { FailureError } from '@cassiamast/coordination';
import type { StandInTuning } from './tuning.js';
import { DEFAULT_TUNING } from './tuning.js';

const HOST = '127.0.0.1';
const ADDRESS_PATTERN = /\b\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}\b/g;

/** Ports that a laid out deployment of the shipped size takes at most. */
export const PORTS_PER_DEPLOYMENT = 60;

/** What a process of the fleet is. */
export enum ProcessKind {
  StandIns = 'stand-ins',
  Entry = 'entry',
  Sidecar = 'sidecar',
}

/** One process: its name, which is also its settings file's, and its settings. */
export interface ProcessLayout {
  readonly name: string;
  readonly kind: ProcessKind;
  readonly failureDomain: string;
  readonly settings: Readonly<Record<string, unknown>>;
}

/** A target with the base address of the stand-in behind it. */
export interface PlacedTarget {
  readonly spec: TargetSpec;
  readonly kind: TargetKind;
  readonly service: string;
  readonly backendUrl: string;
}

/** A deployment on one machine. */
export interface DeploymentLayout {
  /** The operators' text with its addresses moved. */
  readonly text: string;
  readonly configuration: Configuration;
  readonly processes: readonly ProcessLayout[];
  readonly keyValueUrl: string;
  readonly targets: readonly PlacedTarget[];
  /** Base addresses for callers, one a failure domain. */
  readonly callerUrls: readonly string[];
}

/** Lays a deployment out on consecutive ports. Throws what is wrong with the text. */
export function layOutDeployment(
  text: string,
  basePort: number,
  tuning: StandInTuning = DEFAULT_TUNING,
): DeploymentLayout {
  let nextPort = basePort;
  const takePort = (): number => nextPort++;
  const moved = moveAddresses(text, takePort);
  const configuration = compile(moved);
  const platform = { keyValue: takePort(), weightStore: takePort(), vmList: takePort() };
  const targets = configuration.services.flatMap((service) =>
    service.targets.map((spec) => ({
      spec,
      kind: service.kind,
      service: service.name,
      backendUrl: url(spec.backend.port),
    })),
  );
  const domains = [...new Set(targets.map((target) => target.spec.failureDomain))];
  const entries = domains.map((failureDomain) => ({
    failureDomain,
    control: takePort(),
    callers: takePort(),
  }));
  const common = {
    controlNetworks: ['127.0.0.0/8'],
    peers: entries.map((entry) => `${HOST}:${String(entry.control)}`),
    keyValue: { endpoints: [url(platform.keyValue)] },
    vmList: { url: url(platform.vmList) },
    weightStore: { url: url(platform.weightStore) },
  };
  const processes = [
    platformProcess(platform, tuning),
    ...domains.map((domain) =>
      targetsProcess(domain, configuration, targets, url(platform.weightStore), tuning),
    ),
    ...entries.map((entry) => entryProcess(entry, common)),
    ...targets.map((target) => sidecarProcess(target.spec, common)),
  ];
  return {
    text: moved,
    configuration,
    processes,
    keyValueUrl: url(platform.keyValue),
    targets,
    callerUrls: entries.map((entry) => url(entry.callers)),
  };
}

function url(port: number): string {
  return `http://${HOST}:${String(port)}`;
}

function moveAddresses(text: string, takePort: () => number): string {
  const moved = new Map<string, string>();
  return text.replace(ADDRESS_PATTERN, (address) => {
    const known = moved.get(address);
    if (known !== undefined) return known;
    const local = `${HOST}:${String(takePort())}`;
    moved.set(address, local);
    return local;
  });
}

function compile(text: string): Configuration {
  const compiled = compileText(text);
  if (compiled.isOk()) return compiled.value;
  const [fault] = compiled.error;
  if (fault === undefined) throw new RangeError('a refused text has at least one fault');
  throw new FailureError(fault);
}

function platformProcess(
  ports: { readonly keyValue: number; readonly weightStore: number; readonly vmList: number },
  tuning: StandInTuning,
): ProcessLayout {
  return {
    name: 'platform',
    kind: ProcessKind.StandIns,
    failureDomain: '',
    settings: {
      standIns: [
        { kind: 'key-value', host: HOST, port: ports.keyValue },
        { kind: 'weight-store', host: HOST, port: ports.weightStore, ...tuning.weightStore },
        { kind: 'vm-list', host: HOST, port: ports.vmList },
      ],
    },
  };
}

function targetsProcess(
  failureDomain: string,
  configuration: Configuration,
  targets: readonly PlacedTarget[],
  weightStore: string,
  tuning: StandInTuning,
): ProcessLayout {
  const here = targets.filter((target) => target.spec.failureDomain === failureDomain);
  const standIns = here.map((target) => {
    const { spec } = target;
    const place = { host: HOST, port: spec.backend.port, name: spec.name };
    if (target.kind === TargetKind.PlainService) {
      return { kind: 'plain-service', ...place, ...tuning.plainService };
    }
    const service = configuration.services.find((one) => one.name === target.service);
    const models = (service?.models ?? []).map(({ name, version, adapters }) => ({
      name,
      version,
      adapters,
    }));
    const { checksFencing } = spec;
    return { kind: 'engine', ...place, models, checksFencing, weightStore, ...tuning.engine };
  });
  const name = `targets-${failureDomain}`;
  return { name, kind: ProcessKind.StandIns, failureDomain, settings: { standIns } };
}

function entryProcess(
  entry: { readonly failureDomain: string; readonly control: number; readonly callers: number },
  common: Readonly<Record<string, unknown>>,
): ProcessLayout {
  const { failureDomain } = entry;
  return {
    name: `entry-${failureDomain}`,
    kind: ProcessKind.Entry,
    failureDomain,
    settings: {
      kind: 'entry',
      failureDomain,
      control: { host: HOST, port: entry.control },
      callers: { host: HOST, port: entry.callers },
      ...common,
    },
  };
}

function sidecarProcess(
  target: TargetSpec,
  common: Readonly<Record<string, unknown>>,
): ProcessLayout {
  const { failureDomain, name } = target;
  return {
    name: `sidecar-${name}`,
    kind: ProcessKind.Sidecar,
    failureDomain,
    settings: { kind: 'sidecar', failureDomain, target: name, control: target.sidecar, ...common },
  };
}
