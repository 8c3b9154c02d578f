import { Tier } from '@sardinegrade/common';
import { deriveOrderName, ORDER_KIND } from '@sardinegrade/orders';

import {
  getWorkspaceKey,
  ProcessGroup,
  readCounts,
  sendControl,
  startCluster,
  waitUntil,
} from '../../harness/index.js';
import { startFaultProxy } from '../../proxy/index.js';

import type { ServiceName, WorkspaceName } from '@sardinegrade/common';
import type { OrderRecord, OrderState } from '@sardinegrade/orders';
import type { Cluster, EntryProcess } from '../../harness/index.js';
import type { FaultProxy } from '../../proxy/index.js';
import type { ServiceCounts } from '../../standins/index.js';

const WORKSPACE = 'rig-desk';
const SERVICE = 'booking';

/** A second service with the same upstream, configured as one that deduplicates requests. */
const DEDUPLICATING_SERVICE = 'ledger';

const DEADLINE_MS = 4_000;

/** Response to an order. */
export interface OrderReply {
  /** HTTP status; 0 if the connection broke. */
  readonly status: number;
  readonly body: string;
  /** `run` field of a problem response; undefined for an answer. */
  readonly run: string | undefined;
  /** `code` field of a problem response; undefined for an answer. */
  readonly code: number | undefined;
}

interface Problem {
  readonly run?: string;
  readonly code?: number;
}

/** Two daemons in data centre a, whose connections to the platform pass a fault proxy, and one in b. */
export class OrderFleet {
  readonly cluster: Cluster;
  /** Fault proxy between all daemons and the service. */
  readonly serviceProxy: FaultProxy;
  private readonly serviceAddress: string;
  private readonly group: ProcessGroup;

  constructor(
    cluster: Cluster,
    serviceProxy: FaultProxy,
    serviceAddress: string,
    group: ProcessGroup,
  ) {
    this.cluster = cluster;
    this.serviceProxy = serviceProxy;
    this.serviceAddress = serviceAddress;
    this.group = group;
  }

  /** The daemon into which tests inject faults, in data centre a. */
  get faultyEntry(): EntryProcess {
    return this.getEntryProcess(0);
  }

  /** A daemon without injected faults, in data centre b. */
  get healthyEntry(): EntryProcess {
    return this.getEntryProcess(2);
  }

  /** Fault proxy between data centre a and the platform. */
  get platformProxy(): FaultProxy {
    const proxy = this.cluster.platformProxies.get('a');
    if (proxy === undefined) throw new Error('Data centre a has no platform proxy.');
    return proxy;
  }

  async setServiceBehaviour(behaviour: Readonly<Record<string, unknown>>): Promise<void> {
    await sendControl(this.serviceAddress, behaviour);
  }

  /** Counts the executions of an order at the service. */
  async countExecutions(key: string): Promise<number> {
    return this.pickExecutions(await this.readExecutions(), key);
  }

  /** Reads the number of executions of each order from the service. */
  async readExecutions(): Promise<ServiceCounts['byKey']> {
    const counts = (await readCounts(this.serviceAddress)) as unknown as ServiceCounts;
    return counts.byKey;
  }

  /** Returns the number of executions of one order; 0 if the service has not run it. */
  pickExecutions(executions: ServiceCounts['byKey'], key: string): number {
    return executions[`${WORKSPACE}/${key}`] ?? 0;
  }

  /** Sends a request to the service without a daemon in between. */
  async callServiceDirectly(): Promise<void> {
    const headers = { 'x-attempt-id': 'direct' };
    const response = await fetch(`${this.serviceProxy.address}/orders`, {
      method: 'POST',
      headers,
      body: 'bit',
    });
    await response.text();
  }

  async readRecord(key: string): Promise<OrderRecord | undefined> {
    const name = deriveOrderName(WORKSPACE as WorkspaceName, SERVICE as ServiceName, key);
    const object = await this.cluster.platform.client.read(ORDER_KIND, name);
    return object?.value as OrderRecord | undefined;
  }

  async waitForState(key: string, state: OrderState): Promise<void> {
    await waitUntil(
      `${key} is ${state}`,
      async () => (await this.readRecord(key))?.state === state,
    );
  }

  /** Sends an order; a broken connection is reported as status 0. */
  async sendOrder(
    entry: EntryProcess,
    key: string,
    body = 'bit',
    service = SERVICE,
  ): Promise<OrderReply> {
    try {
      const response = await fetch(`${entry.callers}/services/${service}/orders`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${getWorkspaceKey(WORKSPACE)}`,
          'idempotency-key': key,
          'content-type': 'text/plain',
        },
        body,
      });
      const text = await response.text();
      const isProblem = response.headers.get('content-type') === 'application/problem+json';
      const { run, code } = isProblem ? (JSON.parse(text) as Problem) : {};
      return { status: response.status, body: text, run, code };
    } catch {
      return { status: 0, body: '', run: undefined, code: undefined };
    }
  }

  /** Repeats an order until it is answered with status 200. */
  async retryUntilAnswered(entry: EntryProcess, key: string): Promise<OrderReply> {
    let reply: OrderReply | undefined;
    await waitUntil(
      `${key} is answered`,
      async () => {
        reply = await this.sendOrder(entry, key);
        return reply.status === 200;
      },
      RETRY_TIMEOUT_MS,
    );
    if (reply === undefined) throw new Error('The order has no reply.');
    return reply;
  }

  async stop(): Promise<void> {
    await this.cluster.stop();
    await this.serviceProxy.stop();
    await this.group.stop();
  }

  private getEntryProcess(index: number): EntryProcess {
    const entry = this.cluster.entries[index];
    if (entry === undefined) throw new Error('The cluster has fewer daemons than requested.');
    return entry;
  }
}

const RETRY_TIMEOUT_MS = 120_000;

const CLASS_SETTINGS = {
  tier: Tier.Paying,
  priority: 0,
  first_token_target: '1s',
  token_interval_target: '1s',
  deadline: `${DEADLINE_MS}ms`,
  minimum_share: 0.1,
  queue_limit: 100,
};

const buildConfiguration = (serviceAddress: string, hasLookup: boolean) => ({
  [`service.${SERVICE}`]: {
    kind: 'plain',
    pool: 'desk',
    default_class: 'order',
    order_retention: '1h',
    ...(hasLookup ? { status_lookup: '/status/{key}' } : {}),
  },
  [`service.${SERVICE}.class.order`]: CLASS_SETTINGS,
  [`service.${DEDUPLICATING_SERVICE}`]: {
    kind: 'plain',
    pool: 'desk',
    default_class: 'order',
    upstream_deduplicates: 'true',
  },
  [`service.${DEDUPLICATING_SERVICE}.class.order`]: CLASS_SETTINGS,
  'upstream.desk-1': {
    pool: 'desk',
    data_centre: 'a',
    address: serviceAddress,
    slots: 8,
    fencing: 'checked',
  },
});

/**
 * Starts three daemons, an engine, the platform and a plain service as real processes.
 *
 * @param hasLookup - whether the configuration contains the status look-up of the service
 * @returns the fleet; the caller must stop it
 */
export const startOrderFleet = async (hasLookup: boolean): Promise<OrderFleet> => {
  const group = new ProcessGroup();
  const service = await group.start('lab', 'service', ['service']);
  const serviceAddress = service.getAddress('address');
  const serviceProxy = await startFaultProxy({ target: serviceAddress.replace(/^http:\/\//, '') });
  try {
    const cluster = await startCluster({
      dataCentres: [
        { name: 'a', vms: [{}, {}], engines: [{ slots: 1 }] },
        { name: 'b', vms: [{}], engines: [] },
      ],
      classes: [
        {
          name: 'query',
          tier: Tier.Paying,
          firstTokenTargetMs: 1_000,
          tokenIntervalTargetMs: 100,
          deadlineMs: 10_000,
        },
      ],
      workspaces: [WORKSPACE],
      configuration: buildConfiguration(serviceProxy.address, hasLookup),
      hasPlatformProxies: true,
    });
    return new OrderFleet(cluster, serviceProxy, serviceAddress, group);
  } catch (error) {
    await serviceProxy.stop();
    await group.stop();
    throw error;
  }
};
