import { randomUUID } from 'node:crypto';

import { rankByRendezvous, ResultCode, SardinegradeError, ServiceKind } from '@sardinegrade/common';
import { createOrderService, createWriteBudget, DEFAULT_ORDER_TIMINGS } from '@sardinegrade/orders';

import { ErrorFormat } from '../callers/index.js';
import { findClass, readClassHeader } from '../models/index.js';
import { observeServiceClient, ServiceObserver } from '../observation/index.js';
import { createServiceClient, createServiceHandler } from '../services/index.js';

import type {
  Clock,
  Configuration,
  Logger,
  Metrics,
  ServiceConfiguration,
  ServiceName,
  Tracing,
  UpstreamConfiguration,
  UpstreamId,
  VmId,
} from '@sardinegrade/common';
import type { HeldBytes } from '@sardinegrade/ingress';
import type { OrderService } from '@sardinegrade/orders';
import type { PlatformClient } from '@sardinegrade/platform';
import type { CallerRequest, CallerRoute } from '../callers/index.js';
import type { RetryBudgets } from '../retries/index.js';
import type { ServiceCallHandler } from '../services/index.js';

const SWEEP_INTERVAL_MS = 5_000;
const SWEEP_PAGE_PAUSE_MS = 100;
const SWEEP_KEY = 'order-sweep';
const WRITE_BURST_SECONDS = 2;
const SERVICE_PATH = /^\/services\/([^/]+)(\/.*)?$/;

/** Settings and dependencies of a `PlainServiceHandler`. */
export interface PlainServiceHandlerOptions {
  readonly retryBudgets: RetryBudgets;
  readonly vm: VmId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly platform: PlatformClient;
  readonly bodyLimitBytes: number;
  /** Limits the answers of services that are not whole. */
  readonly heldAnswers: HeldBytes;
  readonly writesPerSecond: number;
  readonly getConfiguration: () => Configuration | undefined;
  readonly isUpstreamDown: (upstream: UpstreamId) => boolean;
  readonly isVmGone: (vm: VmId) => boolean;
  /**
   * Lists the daemons of this data centre, including this one. One daemon of each data centre sweeps, because a data
   * centre may be disconnected from the others.
   */
  readonly listLocalVms: () => readonly VmId[];
  /** Throws if a service that the given service depends on is unavailable. */
  readonly checkDependencies: (caller: CallerRequest, service: ServiceConfiguration) => void;
}

// While the daemon runs, its open ports keep the event loop alive. The timer is unreferenced, so that the long deadline
// of an order doesn't keep a stopped daemon's process alive.
const sleepMs = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs).unref();
  });

/** Serves calls to plain services and periodically sweeps orders that other daemons have left unfinished. */
export class PlainServiceHandler {
  readonly orders: OrderService;
  readonly routes: readonly CallerRoute[];
  readonly #options: PlainServiceHandlerOptions;
  readonly #handle: ServiceCallHandler;
  readonly #observer: ServiceObserver;
  #isActive = false;

  constructor(options: PlainServiceHandlerOptions) {
    this.#options = options;
    this.#observer = new ServiceObserver(options);
    const { clock, logger, platform, vm, writesPerSecond } = options;
    const serviceClient = observeServiceClient(
      createServiceClient(this.#findUpstreams, options.heldAnswers),
      options,
    );
    const shared = { clock, serviceClient, sleep: sleepMs, newId: randomUUID };
    const burst = writesPerSecond * WRITE_BURST_SECONDS;
    this.orders = createOrderService({
      ...shared,
      platform,
      vm,
      getMonotonicMs: () => performance.now(),
      writeBudget: createWriteBudget({ clock, writesPerSecond, burst }),
      timings: DEFAULT_ORDER_TIMINGS,
      findService: (name) => options.getConfiguration()?.services.get(name),
      isVmGone: options.isVmGone,
      onIncident: (message, recordName) => logger.error(message, { error: recordName }),
    });
    this.#handle = createServiceHandler({
      ...shared,
      orders: this.orders,
      findUpstreams: this.#findUpstreams,
      getRandom: Math.random,
      retryBudgets: options.retryBudgets,
      onEnd: this.#observer.finish,
    });
    const errorFormat = ErrorFormat.Problem;
    this.routes = [{ pattern: SERVICE_PATH, methods: undefined, errorFormat, serve: this.#serve }];
  }

  /** Starts the sweeps of unfinished orders of other daemons; they run while this daemon is responsible for them. */
  readonly start = (): void => {
    this.#isActive = true;
    void this.#runSweeps();
  };

  /** Rejects new orders and completes the running ones. */
  readonly drain = async (): Promise<void> => {
    this.#isActive = false;
    await this.orders.drain();
  };

  readonly #serve = async (caller: CallerRequest): Promise<void> => {
    const [, name, path] = SERVICE_PATH.exec(caller.url.pathname) ?? [];
    const service = caller.configuration.services.get(decodeName(name) as ServiceName);
    if (service?.kind !== ServiceKind.Plain) {
      throw new SardinegradeError(ResultCode.UnknownService, `No plain service '${name ?? ''}'.`);
    }
    const serviceClass = findClass(service, caller.workspace, readClassHeader(caller.request));
    caller.trail.setTarget({
      service: service.name,
      className: serviceClass.name,
      tier: serviceClass.tier,
    });
    this.#options.checkDependencies(caller, service);
    const abortController = new AbortController();
    caller.response.once('close', () => abortController.abort());
    const context = {
      workspace: caller.workspace.name,
      service,
      class: serviceClass,
      path: `${path ?? '/'}${caller.url.search}`,
      requestId: caller.requestId,
      traceparent: caller.span.traceparent,
      deadlineAtMs: caller.arrivedAtMs + serviceClass.deadlineMs,
      bodyLimitBytes: this.#options.bodyLimitBytes,
      ingress: caller.ingress,
      signal: abortController.signal,
    };
    this.#observer.start(caller, context);
    await this.#handle(context, caller.request, caller.response);
  };

  readonly #findUpstreams = (service: ServiceConfiguration): readonly UpstreamConfiguration[] => {
    const configuration = this.#options.getConfiguration();
    if (configuration === undefined) return [];
    return [...configuration.upstreams.values()].filter(
      ({ id, pool, draining }) =>
        pool === service.pool && !draining && !this.#options.isUpstreamDown(id),
    );
  };

  readonly #runSweeps = async (): Promise<void> => {
    while (this.#isActive) {
      await sleepMs(SWEEP_INTERVAL_MS);
      await this.orders.publishOpenOrders();
      if (!this.#isResponsible()) continue;
      try {
        await this.orders.sweepGoneDaemons();
        await this.orders.sweepOrders(SWEEP_PAGE_PAUSE_MS, this.#isResponsible);
      } catch (error) {
        this.#options.logger.warn('The sweep of unfinished orders failed.', { error });
      }
    }
  };

  readonly #isResponsible = (): boolean =>
    this.#isActive &&
    rankByRendezvous(SWEEP_KEY, this.#options.listLocalVms())[0] === this.#options.vm;
}

const decodeName = (name: string | undefined): string => {
  try {
    return decodeURIComponent(name ?? '');
  } catch {
    return '';
  }
};
