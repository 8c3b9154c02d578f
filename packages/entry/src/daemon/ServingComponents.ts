import { randomUUID } from 'node:crypto';

import { ReloadingCertificate } from '@sardinegrade/fleet';

import {
  createAdministrationContext,
  createAdministrationServer,
} from '../administration/index.js';
import { CallerServer } from '../callers/index.js';
import { createModelRoutes } from '../models/index.js';
import { registerGauges } from '../observation/index.js';
import { createUnauthenticatedPathServer } from './unauthenticatedPaths.js';
import { PlainServiceHandler } from './PlainServiceHandler.js';

import type { Server } from 'node:http';
import type { AttemptId, ServiceConfiguration } from '@sardinegrade/common';
import type { CallerRequest, CallerRoute } from '../callers/index.js';
import type { DaemonBase } from './daemonBase.js';
import type { DispatchComponents } from './DispatchComponents.js';
import type { FleetView } from './FleetView.js';

/** Dependencies of the serving components besides the `DaemonBase`. */
export interface ServingOptions {
  readonly fleet: FleetView;
  readonly dispatch: DispatchComponents;
  readonly isReady: () => boolean;
}

/** Creates and connects the components that serve callers and administrators. */
export class ServingComponents {
  readonly plainServices: PlainServiceHandler;
  readonly callers: CallerServer;
  readonly administration: Server;
  readonly #base: DaemonBase;
  readonly #options: ServingOptions;
  readonly #certificate: ReloadingCertificate | undefined;

  constructor(base: DaemonBase, options: ServingOptions) {
    this.#base = base;
    this.#options = options;
    this.#certificate = this.#createCertificate();
    this.plainServices = this.#createPlainServices();
    this.callers = this.#createCallers();
    this.administration = this.#createAdministration();
  }

  /** Closes the ports and all open connections. */
  readonly stop = (): void => {
    this.#certificate?.stop();
    this.callers.server.closeAllConnections();
    this.administration.close();
    this.administration.closeAllConnections();
  };

  readonly #createCertificate = (): ReloadingCertificate | undefined => {
    const { settings, logger } = this.#base;
    const { tls_certificate: certificate, tls_key: key } = settings.callers;
    if (certificate === undefined || key === undefined) return undefined;
    return new ReloadingCertificate({ certificate, key }, (error) =>
      logger.error('The TLS certificate for callers could not be reloaded.', { error }),
    );
  };

  readonly #createCallers = (): CallerServer =>
    new CallerServer({
      ...this.#base,
      routes: [...this.#createModelRoutes(), ...this.plainServices.routes],
      serveUnauthenticatedPath: createUnauthenticatedPathServer({ isReady: this.#options.isReady }),
      getConfiguration: this.#options.fleet.agent.getConfiguration,
      certificate: this.#certificate,
    });

  readonly #createModelRoutes = (): readonly CallerRoute[] => {
    const { broker, engines, fleetHealth } = this.#options.dispatch;
    return createModelRoutes({
      ...this.#base,
      broker,
      engines,
      retryBudgets: this.#base.retryBudgets,
      bodyLimitBytes: this.#base.settings.callers.body_limit,
      checkDependencies: this.#checkDependencies,
      isSuspect: fleetHealth.isSuspect,
      onUpstreamDied: (_upstream, fingerprint) => fleetHealth.publishSuspect(fingerprint),
      createAttemptId: () => randomUUID() as AttemptId,
    });
  };

  readonly #createPlainServices = (): PlainServiceHandler => {
    const { fleet, dispatch } = this.#options;
    const { settings } = this.#base;
    return new PlainServiceHandler({
      ...this.#base,
      bodyLimitBytes: settings.callers.body_limit,
      heldAnswers: this.#base.ingress.heldAnswers,
      writesPerSecond: settings.orders.writes_per_second,
      getConfiguration: fleet.agent.getConfiguration,
      isUpstreamDown: dispatch.fleetHealth.isDown,
      isVmGone: dispatch.fleetHealth.isVmGone,
      listLocalVms: fleet.listLocalVms,
      checkDependencies: this.#checkDependencies,
    });
  };

  readonly #createAdministration = (): Server => {
    const { fleet, dispatch, isReady } = this.#options;
    const context = createAdministrationContext({
      ...this.#base,
      administrators: this.#base.settings.administrator,
      fleet: fleet.agent,
      orders: this.plainServices.orders,
      traces: this.#base.tracing.recent,
      describeDispatchers: () => dispatch.host.describe().values(),
      isUpstreamDown: dispatch.fleetHealth.isDown,
      isReady,
    });
    registerGauges(this.#base.metrics, context);
    return createAdministrationServer(context, this.#base.ingress.onLimit);
  };

  readonly #checkDependencies = (caller: CallerRequest, service: ServiceConfiguration): void =>
    this.#options.dispatch.dependencies.requireDependencies(caller.configuration, service);
}
