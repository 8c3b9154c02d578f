import { ServerCredentials, credentials, experimental } from '@grpc/grpc-js';

import { CERTIFICATE_REFRESH_MS } from './constants.js';

import type { ChannelCredentials } from '@grpc/grpc-js';

/** Paths of the files for mutual TLS between daemons. */
export interface PeerTlsFiles {
  readonly certificate: string;
  readonly key: string;
  /** Certificate of the authority that signs every daemon's certificate. */
  readonly authority: string;
}

/** Credentials of a daemon as a server and as a client. */
export interface PeerCredentials {
  readonly server: ServerCredentials;
  readonly channel: ChannelCredentials;
}

/**
 * Creates the credentials for connections between daemons. The files are reloaded while the daemon
 * runs, so that a certificate can be replaced without a restart; open connections keep the old one.
 *
 * @param files - the files for mutual TLS, or undefined for insecure connections
 * @param refreshMs - interval at which the files are reloaded, in milliseconds
 * @returns credentials for the peer port and for channels to others
 */
export const createPeerCredentials = (
  files: PeerTlsFiles | undefined,
  refreshMs = CERTIFICATE_REFRESH_MS,
): PeerCredentials => {
  if (files === undefined) {
    return { server: ServerCredentials.createInsecure(), channel: credentials.createInsecure() };
  }
  const provider = new experimental.FileWatcherCertificateProvider({
    certificateFile: files.certificate,
    privateKeyFile: files.key,
    caCertificateFile: files.authority,
    refreshIntervalMs: refreshMs,
  });
  return {
    server: experimental.createCertificateProviderServerCredentials(provider, provider, true),
    channel: experimental.createCertificateProviderChannelCredentials(provider, provider),
  };
};
