import type { IncomingMessage, Server, ServerResponse } from 'node:http';

/** Handles one request. If it rejects, the server responds with status 500. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** A running stand-in. */
export interface StandIn {
  /** Base address, `http://host:port`. */
  readonly address: string;
  /** Stops listening and closes the open connections. */
  readonly stop: () => Promise<void>;
}

/** An HTTP stand-in that gives access to its server and connections. */
export interface HttpStandIn extends StandIn {
  readonly server: Server;
  /**
   * Stops all traffic on the open connections permanently without closing them. New connections work.
   *
   * @param exceptRequest - request whose connection is not paused
   */
  readonly pauseConnections: (exceptRequest?: IncomingMessage) => void;
}

/** One row of a routing table. The pattern's capture groups become the call's parameters. */
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
  /** Values of the pattern's capture groups, URL-decoded. */
  readonly parameters: readonly string[];
}
