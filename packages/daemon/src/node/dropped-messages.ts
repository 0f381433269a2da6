/**
 * Message classes of a server that stops to keep the requests of a connection from some point on. The
 * runtime parses all that it has read at once, and keeps a request and a response for each head until
 * the connection closes: 64 KiB of short requests would take some 4 MiB.
 */
import { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Stands for all requests that are not kept; ignores what the runtime does with it. */
class DroppedRequest extends IncomingMessage {
  override push(): boolean {
    return true;
  }

  override destroy(): this {
    return this;
  }
}

/** Stands for all responses to such requests; never written. */
class DroppedResponse extends ServerResponse {
  override on(): this {
    return this;
  }

  override assignSocket(): void {
    // Another response may be written to the connection.
  }

  override writeContinue(): void {
    // The request is not served.
  }

  override destroy(): this {
    return this;
  }
}

/** The classes that a server creates its messages with. */
export interface MessageClasses {
  readonly IncomingMessage: typeof IncomingMessage;
  readonly ServerResponse: typeof ServerResponse;
}

/** Tells which requests are dropped. */
export interface DropRule {
  /** Returns whether the next request of the connection is kept; once it is not, none is. */
  readonly keepsNext: (socket: Socket) => boolean;
  /** Called when a response is created that is kept. */
  readonly onResponse: (socket: Socket) => void;
}

/** Creates the classes. */
export function createMessageClasses({ keepsNext, onResponse }: DropRule): MessageClasses {
  let droppedRequest: DroppedRequest | null = null;
  let droppedResponse: DroppedResponse | null = null;

  // The runtime calls these with `new`. Classes derived from its own ones would cost more per request.
  function createRequest(socket: Socket): IncomingMessage {
    if (keepsNext(socket)) return new IncomingMessage(socket);
    droppedRequest ??= new DroppedRequest(socket);
    return droppedRequest;
  }

  function createResponse(request: IncomingMessage, options?: object): ServerResponse {
    if (request instanceof DroppedRequest) {
      droppedResponse ??= new DroppedResponse(request);
      return droppedResponse;
    }
    onResponse(request.socket);
    return new OptionedResponse(request, options);
  }

  return {
    IncomingMessage: createRequest as unknown as typeof IncomingMessage,
    ServerResponse: createResponse as unknown as typeof ServerResponse,
  };
}

/** The runtime's class; its types lack the options, which the runtime gives it. */
const OptionedResponse = ServerResponse as unknown as new (
  request: IncomingMessage,
  options?: object,
) => ServerResponse;

/** Returns whether a request is one of those that are not kept. */
export function isDropped(request: IncomingMessage): boolean {
  return request instanceof DroppedRequest;
}
