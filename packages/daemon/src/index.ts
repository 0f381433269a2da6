/**
 * Exports the parts of the daemon that other programs in this repository use: running a daemon or a
 * gateway inside another program, as tests and features do, and calling a member. In production,
 * `main.ts` is the entry point.
 */
export { type CallOptions, type RpcClient, createRpcClient } from './node/rpc-client.js';
export { type MemberProof, createMemberProof } from './node/secret.js';
export { RpcMethod } from './protocol/methods.js';
export type { EntrySettings, LoadedSettings, SidecarSettings } from './settings/settings.js';
export {
  ExitCode,
  type OnFailure,
  StopReason,
  type WithdrawAnnouncements,
  runProcess,
} from './node/run-process.js';
export { type WriteText, writeStandardOutput } from './gateway/log-writer.js';
export type { GatewaySettings } from './gateway/settings.js';
export type { UsageSettings } from './gateway/usage-reporter.js';
export {
  type GatewayPlatform,
  type RunningGateway,
  startGateway,
} from './gateway/start-gateway.js';
export { type RunningProcess, startProcess } from './wiring/start-process.js';
