import { once } from 'node:events';
import { createServer } from 'node:http';
import { text } from 'node:stream/consumers';

import type { IncomingHttpHeaders } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request that a stub received. */
export interface StubCall {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** What a stub answers. */
export interface StubReply {
  readonly status?: number;
  readonly body: unknown;
}

/** A stand-in for the administration API of one daemon. */
export interface StubApi {
  readonly address: string;
  readonly calls: StubCall[];
  readonly close: () => void;
}

/**
 * Starts a stand-in for a daemon's administration API.
 *
 * @param answer - gives the reply to each request
 * @returns the stub, listening on a port of its own
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
