/**
 * The methods that members call on each other, as JSON-RPC 2.0 over HTTP (`POST /rpc`), as a
 * stream (`POST /streams`, answered by server-sent events that each hold one JSON-RPC message) or
 * as one notification in a datagram.
 */

/** Every method name. */
export enum RpcMethod {
  RecordCreate = 'record.create',
  RecordNoteAttempt = 'record.noteAttempt',
  RecordRead = 'record.read',
  RecordFinish = 'record.finish',
  RecordCopy = 'record.copy',
  ClaimTake = 'claim.take',
  ClaimRead = 'claim.read',
  StreamOpen = 'stream.open',
  StreamAttach = 'stream.attach',
  StreamCancel = 'stream.cancel',
  StreamTokens = 'stream.tokens',
  PlainCall = 'plain.call',
  OrderTicket = 'order.ticket',
  OrderSubmit = 'order.submit',
  EngineState = 'engine.state',
  ConfigFetch = 'config.fetch',
  ConfigAnnounce = 'config.announce',
  MemberSync = 'member.sync',
  MemberMessage = 'member',
  LoadReport = 'load',
  LoadSubscribe = 'load.subscribe',
  StatusRead = 'status.read',
  TimelineRead = 'timeline.read',
  MetricsRead = 'metrics.read',
}

/** Path of calls with one answer. */
export const RPC_PATH = '/rpc';
/** Path of calls answered by a stream. */
export const STREAM_PATH = '/streams';
/** Path of the Prometheus text. */
export const METRICS_PATH = '/metrics';
