/**
 * Sets gauges that compare which targets accept work according to the target directory and
 * according to the router. The two should differ only briefly; a lasting difference means that the
 * router was not notified of a change.
 */
import type { Policies } from './policies.js';
import type { TargetDirectory } from './target-directory.js';

/** Sources and sink of the gauges. */
export interface TargetGaugesOptions {
  readonly services: () => readonly { readonly name: string }[];
  readonly directory: Pick<TargetDirectory, 'infos'>;
  readonly policies: Pick<Policies, 'models'>;
  readonly gauge: (name: string, valueByTarget: ReadonlyMap<string, number>) => void;
}

/** Sets `target_open` and `target_routed` to 1 or 0 for each target of the model services. */
export function setTargetGauges({
  services,
  directory,
  policies,
  gauge,
}: TargetGaugesOptions): void {
  const open = new Map<string, number>();
  const routed = new Map<string, number>();
  for (const { name } of services()) {
    const router = policies.models().get(name)?.router;
    if (router === undefined) continue;
    for (const target of directory.infos(name)) {
      open.set(target.name, Number(target.accepting));
      routed.set(target.name, Number(router.views.get(target.name)?.accepting === true));
    }
  }
  gauge('target_open', open);
  gauge('target_routed', routed);
}
