import type { Server, ServerCredentials } from '@grpc/grpc-js';

/**
 * Binds a gRPC server to a port.
 *
 * @param server - the server to bind
 * @param listen - `host:port`; port 0 lets the system choose
 * @param credentials - insecure or for mutual TLS
 * @returns the bound port
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
