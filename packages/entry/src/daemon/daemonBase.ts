import { createLogger, createMetrics, startTracing, SYSTEM_CLOCK } from '@sardinegrade/common';
import { createLimitReporter, Ingress } from '@sardinegrade/ingress';
import { createPeerCredentials } from '@sardinegrade/peer';
import { createPlatformClient } from '@sardinegrade/platform';

import { createRequestJournal } from '../administration/index.js';
import { deriveDaemonLimits } from './deriveDaemonLimits.js';
import { observePlatform } from '../observation/index.js';
import { RetryBudgets } from '../retries/index.js';

import type { Clock, DataCentreName, Logger, Metrics, Tracing, VmId } from '@sardinegrade/common';
import type { PeerCredentials, PeerTlsFiles } from '@sardinegrade/peer';
import type { PlatformClient } from '@sardinegrade/platform';
import type { RequestJournal } from '../administration/index.js';
import type { EntrySettings } from '../settings/index.js';

/** Settings, identity and services that all components of a daemon share. */
export interface DaemonBase {
  readonly settings: EntrySettings;
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly clock: Clock;
  /** Returns a uniform random number from 0 up to but not including 1. */
  readonly random: () => number;
  readonly logger: Logger;
  readonly tracing: Tracing;
  readonly metrics: Metrics;
  readonly journal: RequestJournal;
  readonly platform: PlatformClient;
  readonly credentials: PeerCredentials;
  readonly retryBudgets: RetryBudgets;
  /** Limits of what callers make this daemon hold. */
  readonly ingress: Ingress;
}

const getPeerTls = ({ peer }: EntrySettings): PeerTlsFiles | undefined => {
  const { tls_certificate: certificate, tls_key: key, tls_authority: authority } = peer;
  if (certificate === undefined || key === undefined || authority === undefined) return undefined;
  return { certificate, key, authority };
};

const startDaemonTracing = (settings: EntrySettings, logger: Logger): Tracing =>
  startTracing({
    vm: settings.vm.id,
    dataCentre: settings.vm.data_centre,
    otlpAddress: settings.traces.otlp_address,
    onExportError: (error) => logger.warn('Traces could not be exported.', { error }),
  });

/**
 * Creates the services that all components of a daemon share; no connection is opened yet.
 *
 * @param settings - the daemon's settings
 * @returns the shared services
 * @throws Error if a certificate file is invalid or cannot be read
 */
export const createDaemonBase = (settings: EntrySettings): DaemonBase => {
  const clock = SYSTEM_CLOCK;
  const logger = createLogger({ ...settings.log, fields: { vm: settings.vm.id } });
  const tracing = startDaemonTracing(settings, logger);
  const metrics = createMetrics();
  const client = createPlatformClient({ address: settings.platform.address });
  return {
    settings,
    vm: settings.vm.id as VmId,
    dataCentre: settings.vm.data_centre as DataCentreName,
    clock,
    random: Math.random,
    logger,
    tracing,
    metrics,
    journal: createRequestJournal(clock),
    platform: observePlatform(client, { metrics, tracing }),
    credentials: createPeerCredentials(getPeerTls(settings)),
    retryBudgets: new RetryBudgets(clock),
    ingress: new Ingress(
      deriveDaemonLimits(settings.callers),
      createLimitReporter({ logger, metrics, getNowMs: () => performance.now() }),
    ),
  };
};
