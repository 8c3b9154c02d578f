import { toBranded } from '@sardinegrade/common';

import { LoadReporter } from '../peers/index.js';
import { startForwarder } from './startTestForwarder.js';

import type { Peer } from '@sardinegrade/routing';
import type { TestContext } from 'node:test';
import type { TestForwarder, TestForwarderOptions } from './startTestForwarder.js';

/** Options of a fleet of test forwarders. */
export interface TestFleetOptions extends TestForwarderOptions {
  readonly vms: number;
  /** Third octet of the loopback addresses of the VMs; test files that run at the same time use different ones. */
  readonly subnet: number;
}

const PEER_PORT = 21_010;

/**
 * Starts forwarders in this process that share the workers and exchange load messages.
 *
 * @param context - the test; the forwarders are closed when it ends
 * @param options - number of VMs, workers and configuration
 * @returns the running forwarders
 */
export const startTestFleet = async (
  context: TestContext,
  options: TestFleetOptions,
): Promise<readonly TestForwarder[]> => {
  const peers = Array.from({ length: options.vms }, (_, index): Peer => ({
    vm: toBranded(`vm-${index}`),
    dataCentre: toBranded('dc'),
    address: { host: `127.0.${options.subnet}.${index + 1}`, port: PEER_PORT },
  }));
  return Promise.all(
    peers.map(async ({ vm, address }) => {
      const forwarder = await startForwarder(context, options);
      const reporter = new LoadReporter({ state: forwarder.state, vm, address });
      context.after(() => reporter.stop());
      await reporter.start();
      reporter.setPeers(peers.filter((peer) => peer.vm !== vm));
      return forwarder;
    }),
  );
};
