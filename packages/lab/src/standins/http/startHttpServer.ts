import { createServer } from 'node:http';

import { formatAddress, parseListenAddress } from './listenAddress.js';
import { sendJson } from './messages.js';

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { HttpHandler, HttpStandIn } from './types.js';

const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Stops all reading and writing of a socket permanently, but keeps it open. */
const pauseSocket = (socket: Socket): void => {
  socket.pause();
  // Node.js queues all later writes behind one whose callback is never called.
  socket._write = () => undefined;
  socket._writev = () => undefined;
};

/**
 * Starts an HTTP server for a stand-in.
 *
 * @param listen - `host:port`; with port 0 the operating system assigns a free port
 * @param handle - handles each request
 * @returns the server, once it is listening
 */
export const startHttpServer = async (
  listen: string,
  handle: HttpHandler,
): Promise<HttpStandIn> => {
  const sockets = new Set<Socket>();
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (request, response) => {
    handle(request, response).catch((error: unknown) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 500, { error: String(error) });
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.once('close', () => sockets.delete(socket));
  });
  const { host, port } = parseListenAddress(listen);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const stop = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      for (const socket of sockets) socket.destroy();
    });
  const pauseConnections = (exceptRequest?: IncomingMessage): void => {
    for (const socket of sockets) {
      if (socket === exceptRequest?.socket) continue;
      pauseSocket(socket);
    }
  };
  return { address: `http://${formatAddress(server.address())}`, stop, server, pauseConnections };
};
