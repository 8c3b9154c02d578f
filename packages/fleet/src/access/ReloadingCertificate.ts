import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';

import { CERTIFICATE_CHECK_MS } from './constants.js';

import type { Server } from 'node:https';

/** Paths of a certificate and its private key, in PEM format. */
export interface CertificateFiles {
  readonly certificate: string;
  readonly key: string;
}

/** A certificate and its private key, as accepted by `https.createServer`. */
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
 * The certificate presented to callers. Its files are checked periodically, so that the certificate can be
 * replaced without a restart; open connections keep the old one.
 */
export class ReloadingCertificate {
  private current: Certificate;
  private readonly files: CertificateFiles;
  private readonly servers = new Set<Server>();
  private readonly timer: NodeJS.Timeout;

  /**
   * @param files - paths of certificate and private key
   * @param onFailure - called if changed files are invalid; the old certificate stays in use
   * @throws Error if the files are invalid at the start
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

  /** Returns the certificate in use, for `https.createServer`. */
  getCertificate(): Certificate {
    return this.current;
  }

  /** Sets the certificate of a server, and updates it on each change. */
  attach(server: Server): void {
    this.servers.add(server);
    server.setSecureContext(this.current);
  }

  /**
   * Reads the files again and applies them if they have changed.
   *
   * @returns whether they have changed
   * @throws Error if they are invalid, for example if the certificate is already replaced but the key is not
   */
  loadChanges(): boolean {
    const next = readFiles(this.files);
    if (isEqual(next, this.current)) return false;
    createSecureContext(next);
    this.current = next;
    for (const server of this.servers) server.setSecureContext(next);
    return true;
  }

  /** Stops checking the files for changes. */
  stop(): void {
    clearInterval(this.timer);
  }
}
