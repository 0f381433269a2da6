/** Resolves a caller's model name or path to the configured service. */
import {
  type CallSpec,
  type Configuration,
  type ServiceSpec,
  TargetKind,
} from '@cassiamast/coordination';

const ADAPTER_SEPARATOR = ':';

/** A parsed model name and the service that provides the model. */
export interface ModelChoice {
  readonly service: ServiceSpec;
  readonly model: string;
  readonly adapter: string | null;
}

/** Finds the service for `model` or `model:adapter`; returns null when there is none. */
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

/** Returns the names that callers may use as `model`. */
export function listModels(configuration: Configuration): readonly string[] {
  return configuration.services.flatMap((service) =>
    service.models.flatMap((model) => [
      model.name,
      ...model.adapters.map((adapter) => model.name + ADAPTER_SEPARATOR + adapter),
    ]),
  );
}

/** Finds a plain service by name; returns null when there is none. */
export function findPlainService(configuration: Configuration, name: string): ServiceSpec | null {
  const service = configuration.services.find((candidate) => candidate.name === name);
  return service?.kind === TargetKind.PlainService ? service : null;
}

/**
 * Returns whether a call to a plain service may be repeated. The longest matching prefix decides;
 * paths that are not configured must not be repeated.
 */
export function isRepeatable(service: ServiceSpec, path: string): boolean {
  let longestMatch: CallSpec | null = null;
  for (const call of service.calls) {
    if (!path.startsWith(call.pathPrefix)) continue;
    if (longestMatch === null || call.pathPrefix.length > longestMatch.pathPrefix.length)
      longestMatch = call;
  }
  return longestMatch?.repeatable ?? false;
}
