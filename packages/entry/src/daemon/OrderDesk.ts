import { randomUUID } from 'node:crypto';

import { rankByRendezvous, ResultCode, SardinegradeError, ServiceKind } from '@sardinegrade/common';
import { createOrderService, createWriteBudget, DEFAULT_ORDER_TIMINGS } from '@sardinegrade/orders';

import { ErrorFormat } from '../callers/index.js';
import { findClass, readClassHeader } from '../models/index.js';
import { observeServiceCaller, ServiceObserver } from '../observation/index.js';
import { createServiceCaller, createServiceHandler } from '../services/index.js';

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
import type { OrderService } from '@sardinegrade/orders';
import type { PlatformClient } from '@sardinegrade/platform';
import type { CallerRequest, CallerRoute } from '../callers/index.js';
import type { RetryBudgets } from '../retries/index.js';
import type { ServiceCallHandler } from '../services/index.js';

const SWEEP_INTERVAL_MS = 5_000;
const SWEEP_PAGE_PAUSE_MS = 100;
const SWEEP_KEY = 'order-sweep';
const BURST_SECONDS = 2;
const SERVICE_PATH = /^\/services\/([^/]+)(\/.*)?$/;

/** What the order desk needs of its daemon. */
export interface OrderDeskOptions {
  readonly budgets: RetryBudgets;
  readonly vm: VmId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly platform: PlatformClient;
  readonly bodyLimitBytes: number;
  readonly writesPerSecond: number;
  readonly getConfiguration: () => Configuration | undefined;
  readonly isUpstreamDown: (upstream: UpstreamId) => boolean;
  readonly isVmGone: (vm: VmId) => boolean;
  /** The daemons of this data centre, one of which sweeps: a data centre may be cut off. */
  readonly listNeighbours: () => readonly VmId[];
  /** Throws where something that the service depends on cannot serve. */
  readonly checkDependencies: (caller: CallerRequest, service: ServiceConfiguration) => void;
}

// The open ports keep a running daemon's loop alive; an order's long deadline must not keep an ended one.
const sleepMs = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs).unref();
  });

/** Serves calls to plain services and looks after the orders among them. */
export class OrderDesk {
  readonly orders: OrderService;
  readonly routes: readonly CallerRoute[];
  readonly #options: OrderDeskOptions;
  readonly #handle: ServiceCallHandler;
  readonly #observer: ServiceObserver;
  #isActive = false;

  constructor(options: OrderDeskOptions) {
    this.#options = options;
    this.#observer = new ServiceObserver(options);
    const { clock, logger, platform, vm, writesPerSecond } = options;
    const caller = observeServiceCaller(createServiceCaller(this.#findUpstreams), options);
    const shared = { clock, caller, sleep: sleepMs, newId: randomUUID };
    const burst = writesPerSecond * BURST_SECONDS;
    this.orders = createOrderService({
      ...shared,
      platform,
      vm,
      getMonotonicMs: () => performance.now(),
      writeBudget: createWriteBudget({ clock, writesPerSecond, burst }),
      timings: DEFAULT_ORDER_TIMINGS,
      findService: (name) => options.getConfiguration()?.services.get(name),
      isVmGone: options.isVmGone,
      onIncident: (message, name) => logger.error(message, { error: name }),
    });
    this.#handle = createServiceHandler({
      ...shared,
      orders: this.orders,
      findUpstreams: this.#findUpstreams,
      getRandom: Math.random,
      budgets: options.budgets,
      onEnd: this.#observer.finish,
    });
    const errorFormat = ErrorFormat.Problem;
    this.routes = [{ pattern: SERVICE_PATH, methods: undefined, errorFormat, serve: this.#serve }];
  }

  /** Begins to sweep up what other daemons left behind, whenever it is this daemon's turn. */
  readonly start = (): void => {
    this.#isActive = true;
    void this.#sweepForEver();
  };

  /** Refuses new orders and finishes those under way. */
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
    const gone = new AbortController();
    caller.response.once('close', () => gone.abort());
    const context = {
      workspace: caller.workspace.name,
      service,
      class: serviceClass,
      path: `${path ?? '/'}${caller.url.search}`,
      requestId: caller.requestId,
      traceparent: caller.span.traceparent,
      deadlineAtMs: caller.arrivedAtMs + serviceClass.deadlineMs,
      bodyLimitBytes: this.#options.bodyLimitBytes,
      signal: gone.signal,
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

  readonly #sweepForEver = async (): Promise<void> => {
    while (this.#isActive) {
      await sleepMs(SWEEP_INTERVAL_MS);
      await this.orders.publishOpenOrders();
      if (!this.#isOnDuty()) continue;
      try {
        await this.orders.sweepGoneDaemons();
        await this.orders.sweepOrders(SWEEP_PAGE_PAUSE_MS, this.#isOnDuty);
      } catch (error) {
        this.#options.logger.warn('The orders could not be swept.', { error });
      }
    }
  };

  readonly #isOnDuty = (): boolean =>
    this.#isActive &&
    rankByRendezvous(SWEEP_KEY, this.#options.listNeighbours())[0] === this.#options.vm;
}

const decodeName = (name: string | undefined): string => {
  try {
    return decodeURIComponent(name ?? '');
  } catch {
    return '';
  }
};
