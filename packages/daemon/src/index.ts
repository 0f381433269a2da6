/**
 * Starting a daemon within another program, as tests and features do. In production `main.ts` is the
 * program.
 */
export type { EntrySettings, LoadedSettings, SidecarSettings } from './settings/settings.js';
export { startProcess, type RunningProcess } from './wiring/start-process.js';
