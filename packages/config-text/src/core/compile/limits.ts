/**
 * Limits on the operators' text. They keep the stored document below the key-value service's size
 * limit and the time of a check below one second. They allow several times the size of a deployment
 * with 410 nodes, 730 targets and 960 workspaces.
 */

/** Maximum size of the text in UTF-8; a larger text is rejected before it is parsed. */
export const MAX_TEXT_BYTES = 1_000_000;

/**
 * Maximum size of the stored document: the text, the compiled configuration and
 * {@link ENVELOPE_BYTES}. One transaction writes the document twice, as the current version and as
 * a history entry, and the key-value service accepts requests of at most 1.5 MB.
 */
export const MAX_DOCUMENT_BYTES = 700_000;

/** Space reserved in the stored document for version, edit ID, time and author. */
export const ENVELOPE_BYTES = 2_000;

/** Maximum nesting depth; the schema itself needs six levels. */
export const MAX_NESTING_DEPTH = 32;

/** Maximum number of YAML lexer tokens; a deployment of the planned size uses a fifth of them. */
export const MAX_TOKENS = 300_000;

/** Maximum number of reported faults; the last one states how many were omitted. */
export const MAX_FAULTS = 200;

export const MAX_SERVICES = 64;
export const MAX_TARGETS_PER_SERVICE = 2_048;
/** Total across all services. */
export const MAX_TARGETS = 2_048;
export const MAX_WORKSPACES = 2_048;
export const MAX_FAILURE_DOMAINS = 64;
export const MAX_MODELS_PER_SERVICE = 32;
export const MAX_ADAPTERS_PER_MODEL = 256;
export const MAX_CALLS_PER_SERVICE = 256;
export const MAX_KEYS_PER_WORKSPACE = 16;
export const MAX_NAME_LENGTH = 63;
