/** Authenticates callers: maps the API key of a request to its workspace. */
import { createHash } from 'node:crypto';
import type { WorkspaceSpec } from '@cassiamast/coordination';

const BEARER = /^Bearer\s+(\S{1,512})$/i;

/** Returns the workspace that an Authorization header belongs to, or null. */
export type Authenticate = (authorization: string | undefined) => WorkspaceSpec | null;

/**
 * Creates a lookup over the SHA-256 digests of the workspaces' API keys. Only digests are stored,
 * so neither the configuration nor a memory dump of an entry reveals a key.
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
