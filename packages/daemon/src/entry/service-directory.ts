/** Finds the service that a caller's model name or path means. */
import {
  type CallSpec,
  type Configuration,
  type ServiceSpec,
  TargetKind,
} from '@cassiamast/coordination';

const ADAPTER_SEPARATOR = ':';

/** A model name as a caller wrote it, taken apart. */
export interface ModelChoice {
  readonly service: ServiceSpec;
  readonly model: string;
  readonly adapter: string | null;
}

/** Finds the service of `model` or `model:adapter`; null when none has it. */
export function findModel(configuration: Configuration, modelText: string): ModelChoice | null {
  const separator = modelText.indexOf(ADAPTER_SEPARATOR);
  const model = separator < 0 ? modelText : modelText.slice(0, separator);
  const adapter = separator < 0 ? null : modelText.slice(separator + 1);
  for (const service of configuration.services) {
    if (service.kind !== TargetKind.ModelEngine) continue;
    const spec = service.models.find((candidate) => candidate.name === model);
    if (spec === undefined) continue;
    if (adapter === null || spec.adapters.includes(adapter)) return { service, model, adapter };
  }
  return null;
}

/** The names callers may use as `model`. */
export function listModels(configuration: Configuration): readonly string[] {
  return configuration.services.flatMap((service) =>
    service.models.flatMap((model) => [
      model.name,
      ...model.adapters.map((adapter) => model.name + ADAPTER_SEPARATOR + adapter),
    ]),
  );
}

/** The plain service of this name. */
export function findPlainService(configuration: Configuration, name: string): ServiceSpec | null {
  const service = configuration.services.find((candidate) => candidate.name === name);
  return service?.kind === TargetKind.PlainService ? service : null;
}

/**
 * Whether a call of a plain service may be repeated. The longest matching prefix decides; a path
 * that the operators did not list is treated as one that may not be.
 */
export function isRepeatable(service: ServiceSpec, path: string): boolean {
  let best: CallSpec | null = null;
  for (const call of service.calls) {
    if (!path.startsWith(call.pathPrefix)) continue;
    if (best === null || call.pathPrefix.length > best.pathPrefix.length) best = call;
  }
  return best?.repeatable ?? false;
}
