/** Defines the effects that configuration sync requests from its process, and its input context. */
import type { UnstampedEvent } from '../events/event.js';
import type { Hash32 } from '../hashing/hashing.js';
import type { Random } from '../random/random.js';
import type { ConfigurationPatch, MemberConfiguration } from './document.js';

/** Kinds of configuration effects. */
export enum ConfigEffectKind {
  /** Make this configuration the active one. */
  PutInForce = 'put-in-force',
  /** Send the notification `config.announce` with the parameters `[version]` as one datagram. */
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
  /** Allow or stop accepting new work; running work continues either way. */
  NewWork = 'new-work',
  Emit = 'emit',
}

/** The parameters of a `config.fetch` call to a peer. */
export interface FetchRequest {
  /** The active version of the requester, or 0 when it has none. */
  readonly haveVersion: number;
}

/** A peer's answer: patches in order if it has all that are needed, else the whole document. */
export interface FetchAnswer {
  readonly patches: readonly ConfigurationPatch[] | null;
  readonly whole: MemberConfiguration | null;
}

/** An effect of configuration sync. */
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

/** The input that configuration sync needs from its process at each step. */
export interface ConfigContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly hash32: Hash32;
  readonly selfId: string;
  /** Whether this member is the watcher of its failure domain, chosen by rendezvous hashing. */
  readonly isWatcher: () => boolean;
  /** Returns a random live peer, or null when there is none. */
  readonly pickPeer: () => string | null;
  /** Whether the member at this control address is seen as alive; leaving members count as alive. */
  readonly sees: (id: string) => boolean;
  /** Share, 0 to 1, of this member's recent probes to any member that were answered. */
  readonly answeredRatio: () => number;
}
