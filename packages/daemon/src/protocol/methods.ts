/**
 * The methods that members call on each other, as JSON-RPC 2.0 over HTTP (`POST /rpc`), as a
 * stream (`POST /streams`, answered by server-sent events that each hold one JSON-RPC message) or
 * as one notification in a datagram. Calls to holders are named by the library's `HolderCallKind`,
 * membership's datagrams by its `MembershipMethod`.
 */

/** Every method name of the daemon's own. */
export enum RpcMethod {
  ClaimTake = 'claim.take',
  SessionOpen = 'session.open',
  StreamOpen = 'stream.open',
  StreamAttach = 'stream.attach',
  StreamOpened = 'stream.opened',
  StreamTokens = 'stream.tokens',
  AttemptCancel = 'attempt.cancel',
  LoneRunProbe = 'lone-run.probe',
  PrefillRun = 'prefill.run',
  SuspicionNote = 'suspicion.note',
  SuspicionRead = 'suspicion.read',
  OrderTicket = 'order.ticket',
  OrderSubmit = 'order.submit',
  OrderRead = 'order.read',
  TargetDrain = 'target.drain',
  ConfigFetch = 'config.fetch',
  ConfigAnnounce = 'config.announce',
  MemberSync = 'member.sync',
  LoadReport = 'load.report',
  LoadSubscribe = 'load.subscribe',
  DemandReport = 'demand.report',
  StatusRead = 'status.read',
  TimelineRead = 'timeline.read',
  MetricsRead = 'metrics.read',
  ScheduleTake = 'schedule.take',
  ScheduleReport = 'schedule.report',
  LimitsBorrow = 'limits.borrow',
  LimitsTell = 'limits.tell',
  LimitsTake = 'limits.take',
}

/** Path of calls with one answer. */
export const RPC_PATH = '/rpc';
/** Path of calls answered by a stream. */
export const STREAM_PATH = '/streams';
/** Path of the Prometheus text. */
export const METRICS_PATH = '/metrics';
