/**
 * Names of the methods that members call on each other. A call is JSON-RPC 2.0 over HTTP (`POST
 * /rpc`), a stream (`POST /streams`, answered by server-sent events that each contain one JSON-RPC
 * message) or a notification in a single datagram. The library defines the names of calls to record
 * holders (`HolderCallKind`) and of membership datagrams (`MembershipMethod`).
 */

/** Names of all methods that the daemon defines itself. */
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
  CrashesTell = 'crashes.tell',
  StreamsFind = 'streams.find',
  StreamsTell = 'streams.tell',
  ConfigurationRead = 'configuration.read',
  UsageRead = 'usage.read',
  UsageTell = 'usage.tell',
  UsageFixed = 'usage.fixed',
}

/** HTTP path of calls with a single response. */
export const RPC_PATH = '/rpc';
/** HTTP path of calls whose response is a stream. */
export const STREAM_PATH = '/streams';
/** HTTP path of the metrics in Prometheus text format. */
export const METRICS_PATH = '/metrics';
