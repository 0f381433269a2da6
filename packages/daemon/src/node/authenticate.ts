/** Authenticates callers: maps the API key of a request to its workspace. */
import { createHash } from 'node:crypto';

const BEARER = /^Bearer\s+(\S{1,512})$/i;

/** A workspace and the digests of its keys. */
export interface WorkspaceKeys {
  /** Hexadecimal SHA-256 digests. */
  readonly apiKeySha256: readonly string[];
}

/** Returns the workspace that an Authorization header belongs to, or null. */
export type Authenticate<Workspace> = (authorization: string | undefined) => Workspace | null;

/**
 * Creates a lookup over the SHA-256 digests of the workspaces' API keys. Only digests are stored,
 * so neither the configuration nor a memory dump of a process reveals a key, and the time of a
 * lookup says nothing about a key.
 */
export function createAuthenticate<Workspace extends WorkspaceKeys>(
  workspaces: readonly Workspace[],
): Authenticate<Workspace> {
  const byDigest = new Map<string, Workspace>();
  for (const workspace of workspaces) {
    for (const digest of workspace.apiKeySha256) byDigest.set(digest.toLowerCase(), workspace);
  }
  return (authorization) => {
    const key = BEARER.exec(authorization ?? '')?.[1];
    if (key === undefined) return null;
    return byDigest.get(createHash('sha256').update(key).digest('hex')) ?? null;
  };
}
