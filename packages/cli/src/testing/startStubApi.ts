import { once } from 'node:events';
import { createServer } from 'node:http';
import { text } from 'node:stream/consumers';

import type { IncomingHttpHeaders } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request that the stub received. */
export interface StubCall {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** A response of the stub. */
export interface StubReply {
  readonly status?: number;
  readonly body: unknown;
}

/** A stub of the administration API of one daemon. */
export interface StubApi {
  readonly address: string;
  readonly calls: StubCall[];
  readonly close: () => void;
}

/**
 * Starts a stub of the administration API on a free local port.
 *
 * @param answer - returns the response to each request
 * @returns the listening stub, which collects all requests
 */
export const startStubApi = async (answer: (call: StubCall) => StubReply): Promise<StubApi> => {
  const calls: StubCall[] = [];
  const server = createServer((request, response) => {
    const respond = async (): Promise<void> => {
      const { method = '', url: path = '', headers } = request;
      const call: StubCall = { method, path, headers, body: await text(request) };
      calls.push(call);
      const { status = 200, body } = answer(call);
      const content = typeof body === 'string' ? body : JSON.stringify(body);
      response.writeHead(status, { 'content-type': 'application/json' }).end(content);
    };
    respond().catch(() => response.destroy());
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const close = (): void => {
    server.close();
    server.closeAllConnections();
  };
  return { address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, calls, close };
};
