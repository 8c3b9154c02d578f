import type { IncomingMessage, Server, ServerResponse } from 'node:http';

/** Answers one request. A rejection is answered as a fault of the stand-in. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** A stand-in that listens. */
export interface StandIn {
  /** Base address, `http://host:port`. */
  readonly address: string;
  /** Stops listening and cuts the open connections. */
  readonly stop: () => Promise<void>;
}

/** A server whose connections can be reached. */
export interface HttpStandIn extends StandIn {
  readonly server: Server;
  /**
   * Silences every open connection for good; new ones work.
   *
   * @param exceptRequest - a request whose connection goes on
   */
  readonly pauseConnections: (exceptRequest?: IncomingMessage) => void;
}

/** One row of a routing table. The pattern's groups are the parameters of the handler. */
export interface Route {
  readonly method: string;
  readonly pattern: RegExp;
  readonly handle: (call: RoutedCall) => Promise<void> | void;
}

/** A request that matched a route. */
export interface RoutedCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Decoded groups of the route's pattern. */
  readonly parameters: readonly string[];
}
