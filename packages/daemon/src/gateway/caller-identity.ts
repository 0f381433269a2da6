/**
 * Finds out which workspace a request comes from. A key that the configuration does not hold may be
 * newer than the configuration that this gateway has read, so the gateway reads what has changed
 * before it turns a caller away. One reading serves all that wait for it, readings have a minimum
 * interval and few requests wait at a time, so a flood of made-up keys costs little.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { FleetView, KeyedWorkspace, Route, RouteTable } from '@cassiamast/coordination';
import { type Authenticate, createAuthenticate } from '../node/authenticate.js';

/** Minimum interval between the starts of two readings. */
const READ_INTERVAL_MS = 500;
/** A caller whose key can't be checked by then had better ask another gateway. */
const MAX_WAIT_MS = 800;
/** Requests that wait for a reading, with their bodies. */
const MAX_WAITING = 32;

/** What is known of a caller. */
export enum IdentityKind {
  /** The caller may use the route. */
  Known = 'known',
  /** No workspace holds the key, or there is none. */
  Unknown = 'unknown',
  /** The key may be newer than what this gateway knows. */
  Unverified = 'unverified',
}

/** The caller of a request. */
export interface Identity {
  readonly kind: IdentityKind;
  /** Null for callers without a workspace. */
  readonly workspace: KeyedWorkspace | null;
}

/** Identifies callers. */
export interface CallerIdentity {
  /** Returns what the current configuration says; null if it holds no such key. */
  readonly find: (route: Route, authorization: string | undefined) => Identity | null;
  /** Resolves with the identity by a configuration that is current. */
  readonly verify: (route: Route, authorization: string | undefined) => Promise<Identity>;
}

/** Dependencies of {@link createCallerIdentity}. */
export interface CallerIdentityOptions {
  readonly view: FleetView;
  /** Reads and applies all changes so far; resolves with whether the store has answered. */
  readonly readChanges: () => Promise<boolean>;
  readonly nowMs: () => number;
  readonly count: (name: string) => void;
}

const UNKNOWN: Identity = { kind: IdentityKind.Unknown, workspace: null };
const UNVERIFIED: Identity = { kind: IdentityKind.Unverified, workspace: null };

/** Creates the identification of callers. */
export function createCallerIdentity(options: CallerIdentityOptions): CallerIdentity {
  const { view, readChanges, nowMs, count } = options;
  let indexed: { readonly table: RouteTable; readonly authenticate: Lookup } | null = null;
  let lastReadAtMs = -Infinity;
  let nextReading: Promise<boolean> | null = null;
  let waiting = 0;

  function lookup(table: RouteTable, authorization: string | undefined): KeyedWorkspace | null {
    if (indexed?.table !== table) {
      const authenticate = createAuthenticate(table.configuration.workspaces ?? []);
      indexed = { table, authenticate };
    }
    return indexed.authenticate(authorization);
  }

  function find(route: Route, authorization: string | undefined): Identity | null {
    const { table } = view;
    if (table === null) return null;
    const workspace = lookup(table, authorization);
    const needsKey = table.configuration.workspaces !== null && !route.isOpen;
    return workspace === null && needsKey ? null : { kind: IdentityKind.Known, workspace };
  }

  /** Resolves when a reading that begins after the call has ended. */
  function read(): Promise<boolean> {
    nextReading ??= (async () => {
      await sleep(Math.max(0, lastReadAtMs + READ_INTERVAL_MS - nowMs()));
      nextReading = null;
      lastReadAtMs = nowMs();
      count('key_readings_total');
      return readChanges();
    })();
    return nextReading;
  }

  async function verify(route: Route, authorization: string | undefined): Promise<Identity> {
    if (authorization === undefined) return UNKNOWN;
    const isStoreLost = nowMs() > view.outageFromMs;
    if (isStoreLost || waiting >= MAX_WAITING) return UNVERIFIED;
    waiting += 1;
    const timeout = new AbortController();
    const isCurrent = await Promise.race([
      read(),
      sleep(MAX_WAIT_MS, false, { signal: timeout.signal }).catch(() => false),
    ]);
    timeout.abort();
    waiting -= 1;
    return find(route, authorization) ?? (isCurrent ? UNKNOWN : UNVERIFIED);
  }

  return { find, verify };
}

type Lookup = Authenticate<KeyedWorkspace>;
