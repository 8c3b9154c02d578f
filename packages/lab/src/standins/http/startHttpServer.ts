import { createServer } from 'node:http';

import { formatAddress, parseListenAddress } from './listenAddress.js';
import { sendJson } from './messages.js';

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { HttpHandler, HttpStandIn } from './types.js';

const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Keeps a socket open for good without reading or sending anything more. */
const pauseSocket = (socket: Socket): void => {
  socket.pause();
  // A write that never calls back holds up all later ones.
  socket._write = () => undefined;
  socket._writev = () => undefined;
};

/**
 * Starts an HTTP server for a stand-in.
 *
 * @param listen - `host:port`; port 0 takes one from the operating system
 * @param handle - answers each request
 * @returns the server once it listens
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
