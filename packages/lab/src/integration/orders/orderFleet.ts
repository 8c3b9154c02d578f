import { Tier } from '@sardinegrade/common';
import { deriveOrderName, ORDER_KIND } from '@sardinegrade/orders';

import {
  getWorkspaceKey,
  ProcessGroup,
  readControl,
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
const DEADLINE_MS = 4_000;

/** What a caller is told of an order. */
export interface OrderReply {
  readonly status: number;
  readonly body: string;
  /** `run` of a problem; undefined for an answer. */
  readonly run: string | undefined;
  readonly code: number | undefined;
}

interface Problem {
  readonly run?: string;
  readonly code?: number;
}

/** Two daemons in data centre a, whose way to the platform can be disturbed, and one in b. */
export class OrderFleet {
  readonly cluster: Cluster;
  /** The way of all daemons to the service. */
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

  /** The daemon that tests disturb. */
  get first(): EntryProcess {
    return this.getEntry(0);
  }

  /** A daemon that tests leave alone. */
  get second(): EntryProcess {
    return this.getEntry(2);
  }

  /** The way of data centre a to the platform. */
  get platformProxy(): FaultProxy {
    const proxy = this.cluster.platformProxies.get('a');
    if (proxy === undefined) throw new Error('No proxy stands before the platform.');
    return proxy;
  }

  async setService(behaviour: Readonly<Record<string, unknown>>): Promise<void> {
    await sendControl(this.serviceAddress, behaviour);
  }

  /** Counts how often the service has carried an order out. */
  async countExecutions(key: string): Promise<number> {
    const counts = (await readControl(this.serviceAddress)) as unknown as ServiceCounts;
    return counts.byKey[`${WORKSPACE}/${key}`] ?? 0;
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

  /** Sends an order; a broken connection counts as status 0. */
  async sendOrder(entry: EntryProcess, key: string, body = 'bit'): Promise<OrderReply> {
    try {
      const response = await fetch(`${entry.callers}/services/${SERVICE}/orders`, {
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

  /** Resends an order until the service's answer comes. */
  async retryUntilAnswered(entry: EntryProcess, key: string): Promise<OrderReply> {
    let reply: OrderReply | undefined;
    await waitUntil(
      `${key} is answered`,
      async () => {
        reply = await this.sendOrder(entry, key);
        return reply.status === 200;
      },
      RESEND_TIMEOUT_MS,
    );
    if (reply === undefined) throw new Error('No reply.');
    return reply;
  }

  async stop(): Promise<void> {
    await this.cluster.stop();
    await this.serviceProxy.stop();
    await this.group.stop();
  }

  private getEntry(index: number): EntryProcess {
    const entry = this.cluster.entries[index];
    if (entry === undefined) throw new Error('The cluster has too few daemons.');
    return entry;
  }
}

const RESEND_TIMEOUT_MS = 120_000;

const buildConfiguration = (serviceAddress: string, hasLookup: boolean) => ({
  [`service.${SERVICE}`]: {
    kind: 'plain',
    pool: 'desk',
    default_class: 'order',
    order_retention: '1h',
    ...(hasLookup ? { status_lookup: '/status/{key}' } : {}),
  },
  [`service.${SERVICE}.class.order`]: {
    tier: Tier.Paying,
    priority: 0,
    first_token_target: '1s',
    token_interval_target: '1s',
    deadline: `${DEADLINE_MS}ms`,
    minimum_share: 0.1,
    queue_limit: 100,
  },
  'upstream.desk-1': {
    pool: 'desk',
    data_centre: 'a',
    address: serviceAddress,
    slots: 8,
    fencing: 'checked',
  },
});

/**
 * Starts three daemons, the platform and a plain service as real processes.
 *
 * @param hasLookup - whether the configuration names the service's status look-up
 * @returns the fleet; its owner stops it
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
