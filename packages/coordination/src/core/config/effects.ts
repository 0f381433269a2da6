/** What keeping the configuration asks its process to do, and the context it decides in. */
import type { UnstampedEvent } from '../events/event.js';
import type { Hash32 } from '../hashing/hashing.js';
import type { Random } from '../random/random.js';
import type { ConfigurationPatch, MemberConfiguration } from './document.js';

/** Kinds of configuration effects. */
export enum ConfigEffectKind {
  /** Act on this configuration from now on. */
  PutInForce = 'put-in-force',
  /** Send the notification `config.announce` with `[version]` as one datagram. */
  Announce = 'announce',
  /** Call `config.fetch`; feed `configFetchAnswered` or `configFetchFailed`. */
  Fetch = 'fetch',
  /** Read the head key; feed `configHeadRead` or `configHeadReadFailed`. */
  ReadHead = 'read-head',
  /** Read the document key; feed `configDocumentRead` or `configDocumentReadFailed`. */
  ReadDocument = 'read-document',
  /** Watch the head key; feed each change to `configHeadChanged` and the end to `configWatchEnded`. */
  Watch = 'watch',
  StopWatch = 'stop-watch',
  /** Whether new work may be taken changed; running work goes on either way. */
  NewWork = 'new-work',
  Emit = 'emit',
}

/** What is asked of a peer. */
export interface FetchRequest {
  /** 0 when nothing is held. */
  readonly haveVersion: number;
}

/** What a peer answers: patches in order when it can bridge the gap, else everything. */
export interface FetchAnswer {
  readonly patches: readonly ConfigurationPatch[] | null;
  readonly whole: MemberConfiguration | null;
}

/** An effect of keeping the configuration. */
export type ConfigEffect =
  | {
      readonly kind: ConfigEffectKind.PutInForce;
      readonly configuration: MemberConfiguration;
    }
  | {
      readonly kind: ConfigEffectKind.Announce;
      readonly to: string;
      readonly version: number;
    }
  | {
      readonly kind: ConfigEffectKind.Fetch;
      readonly to: string;
      readonly request: FetchRequest;
    }
  | { readonly kind: ConfigEffectKind.ReadHead }
  | { readonly kind: ConfigEffectKind.ReadDocument }
  | { readonly kind: ConfigEffectKind.Watch }
  | { readonly kind: ConfigEffectKind.StopWatch }
  | {
      readonly kind: ConfigEffectKind.NewWork;
      readonly allowed: boolean;
      readonly reason: string;
    }
  | { readonly kind: ConfigEffectKind.Emit; readonly event: UnstampedEvent };

/** What keeping the configuration needs from its process at each step. */
export interface ConfigContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly hash32: Hash32;
  readonly selfId: string;
  /** Whether this member is the watcher of its failure domain, by rendezvous over its members. */
  readonly isWatcher: () => boolean;
  /** A random peer that is alive, or null. */
  readonly pickPeer: () => string | null;
  /** Whether the member at this control address is seen alive, leaving counted as alive. */
  readonly sees: (id: string) => boolean;
  /** Share, 0 to 1, of this member's recent probes that were answered, whoever they went to. */
  readonly answeredRatio: () => number;
}
