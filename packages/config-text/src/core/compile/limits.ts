/**
 * The bounds of the operators' text. They keep the stored document under the key-value service's
 * value limit and the cost of a check under a second, and leave several times the room that 410
 * nodes, 730 servers and 960 workspaces take.
 */

/** Bytes of the text as UTF-8; refused before it is parsed. */
export const MAX_TEXT_BYTES = 1_000_000;

/**
 * Bytes of the document as stored: the text, what it compiles to and {@link ENVELOPE_BYTES}. One
 * transaction writes it twice, as the current version and into the history, and the key-value
 * service takes requests of at most 1.5 MB.
 */
export const MAX_DOCUMENT_BYTES = 700_000;

/** Room in the document for version, edit id, time and author. */
export const ENVELOPE_BYTES = 2_000;

/** Levels of nesting; the schema itself needs six. */
export const MAX_NESTING_DEPTH = 32;

/** Words and signs of the YAML; the target size takes a fifth of it. */
export const MAX_TOKENS = 300_000;

/** Faults reported at once; the last one counts those left out. */
export const MAX_FAULTS = 200;

export const MAX_SERVICES = 64;
export const MAX_TARGETS_PER_SERVICE = 2_048;
/** Over all services. */
export const MAX_TARGETS = 2_048;
export const MAX_WORKSPACES = 2_048;
export const MAX_FAILURE_DOMAINS = 64;
export const MAX_MODELS_PER_SERVICE = 32;
export const MAX_ADAPTERS_PER_MODEL = 256;
export const MAX_CALLS_PER_SERVICE = 256;
export const MAX_KEYS_PER_WORKSPACE = 16;
export const MAX_NAME_LENGTH = 63;
