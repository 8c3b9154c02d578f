import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';

import { CERTIFICATE_CHECK_MS } from './constants.js';

import type { Server } from 'node:https';

/** Paths of a certificate and its key, in PEM. */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
}

/** A certificate and its key, as `https.createServer` takes them. */
export interface Certificate {
  readonly cert: string;
  readonly key: string;
}

const readFiles = (files: CertificateFiles): Certificate => ({
  cert: readFileSync(files.certificate, 'utf8'),
  key: readFileSync(files.key, 'utf8'),
});

const isEqual = (left: Certificate, right: Certificate): boolean =>
  left.cert === right.cert && left.key === right.key;

/**
 * The certificate for callers. Its files are read again while the daemon runs, so that it is replaced
 * without a restart; open connections keep the old one.
 */
export class ReloadingCertificate {
  private current: Certificate;
  private readonly files: CertificateFiles;
  private readonly servers = new Set<Server>();
  private readonly timer: NodeJS.Timeout;

  /**
   * @param files - where certificate and key are
   * @param onFailure - told when new files cannot be used; the old certificate stays in use
   * @throws Error where the files cannot be used at the start
   */
  constructor(files: CertificateFiles, onFailure: (error: unknown) => void) {
    this.files = files;
    this.current = readFiles(files);
    createSecureContext(this.current);
    this.timer = setInterval(() => {
      try {
        this.loadChanges();
      } catch (error) {
        onFailure(error);
      }
    }, CERTIFICATE_CHECK_MS);
    this.timer.unref();
  }

  /** The certificate in use, for `https.createServer`. */
  getCertificate(): Certificate {
    return this.current;
  }

  /** Has a server follow each change of the certificate. */
  attach(server: Server): void {
    this.servers.add(server);
    server.setSecureContext(this.current);
  }

  /**
   * Reads the files again, and puts them into use where they changed.
   *
   * @returns whether they changed
   * @throws Error where they cannot be used, as between the writes of certificate and key
   */
  loadChanges(): boolean {
    const next = readFiles(this.files);
    if (isEqual(next, this.current)) return false;
    createSecureContext(next);
    this.current = next;
    for (const server of this.servers) server.setSecureContext(next);
    return true;
  }

  /** Reads the files no more. */
  stop(): void {
    clearInterval(this.timer);
  }
}
