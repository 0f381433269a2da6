/**
 * Which targets take work, by what this entry knows and by what its router acts on: two views that
 * differ only for a moment. Where they differ for longer, the router was not told of a change.
 */
import type { Policies } from './policies.js';
import type { TargetDirectory } from './target-directory.js';

/** Where the views come from. */
export interface TargetGaugesOptions {
  readonly services: () => readonly { readonly name: string }[];
  readonly directory: Pick<TargetDirectory, 'infos'>;
  readonly policies: Pick<Policies, 'models'>;
  readonly gauge: (name: string, valueByTarget: ReadonlyMap<string, number>) => void;
}

/** Sets `target_open` and `target_routed`, 1 or 0 by target of a model service. */
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
