import type { Server, ServerCredentials } from '@grpc/grpc-js';

/**
 * Opens a gRPC server's port.
 *
 * @param server - the server
 * @param listen - `host:port`; port 0 lets the system choose
 * @param credentials - plain or for mutual TLS
 * @returns the port
 */
export const openPeerPort = (
  server: Server,
  listen: string,
  credentials: ServerCredentials,
): Promise<number> =>
  new Promise((resolve, reject) => {
    server.bindAsync(listen, credentials, (error, port) => {
      if (error === null) resolve(port);
      else reject(error);
    });
  });
