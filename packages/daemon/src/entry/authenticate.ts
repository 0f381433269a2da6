/** Finds the workspace of a caller by its API key. */
import { createHash } from 'node:crypto';
import type { WorkspaceSpec } from '@cassiamast/coordination';

const BEARER = /^Bearer\s+(\S{1,512})$/i;

/** Finds the workspace of an Authorization header, or null. */
export type Authenticate = (authorization: string | undefined) => WorkspaceSpec | null;

/**
 * Indexes the workspaces' key digests. Only digests are known here: neither the configuration nor
 * a memory dump of an entry gives a key away.
 */
export function createAuthenticate(workspaces: readonly WorkspaceSpec[]): Authenticate {
  const byDigest = new Map<string, WorkspaceSpec>();
  for (const workspace of workspaces) {
    for (const digest of workspace.apiKeySha256) byDigest.set(digest.toLowerCase(), workspace);
  }
  return (authorization) => {
    const key = BEARER.exec(authorization ?? '')?.[1];
    if (key === undefined) return null;
    return byDigest.get(createHash('sha256').update(key).digest('hex')) ?? null;
  };
}
