import { createServer } from 'node:http';

import { toBranded } from '@sardinegrade/common';
import { buildLoopbackHost } from '@sardinegrade/common/testing';

import { createTunnelServer, FRAMES_HEADER } from '../links/index.js';
import { LoadReporter } from '../peers/index.js';
import { startForwarder } from './startTestForwarder.js';

import type { SocketAddress } from '@sardinegrade/common';
import type { Peer } from '@sardinegrade/routing';
import type { Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { ForwarderState } from '../ForwarderState.js';
import type { TestForwarder, TestForwarderOptions } from './startTestForwarder.js';

/** Options of a fleet of test forwarders. */
export interface TestFleetOptions extends TestForwarderOptions {
  readonly vms: number;
  /** Third octet of the loopback addresses of the VMs; test files that run at the same time use different ones. */
  readonly subnet: number;
  /** Whether the VMs pass on bare bytes, as builds that know no frames do. */
  readonly hasBareTunnels?: boolean;
}

const PEER_PORT = 21_010;

const startTunnelServer = async (
  context: TestContext,
  state: ForwarderState,
  { host, port }: SocketAddress,
  hasBareTunnels: boolean,
): Promise<void> => {
  const tunnelServer = createTunnelServer(state);
  const server = createServer();
  const sockets = new Set<Socket>();
  peerSockets.set(state, sockets);
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on('connect', (request, stream) => {
    if (hasBareTunnels) Reflect.deleteProperty(request.headers, FRAMES_HEADER);
    tunnelServer.handleConnect(request, stream);
  });
  context.after(() => {
    server.close();
    tunnelServer.close();
    state.links.stop();
  });
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
};

/** Cuts a VM off from all workers: open connections are reset, and new ones refused. */
export const disconnectWorkers = ({ state }: TestForwarder): void => {
  const { dialer } = state;
  const sockets = openSockets.get(state) ?? new Set<Socket>();
  dialer.connectDirectly = (_options, callback) => {
    setImmediate(() => callback(new Error('connect ECONNREFUSED'), null));
  };
  dialer.isConnectable = () => Promise.resolve(false);
  for (const socket of sockets) socket.destroy(new Error('read ECONNRESET'));
};

/** Closes the connections between a VM and the others in order, as the kernel does for a process that has been killed. */
export const closePeerSockets = ({ state }: TestForwarder): void => {
  for (const socket of peerSockets.get(state) ?? []) socket.destroy();
};

/** Sockets that other VMs have opened, by VM. */
const peerSockets = new WeakMap<ForwarderState, Set<Socket>>();

/** Sockets of direct connections to workers, by VM. */
const openSockets = new WeakMap<ForwarderState, Set<Socket>>();

const observeSockets = (state: ForwarderState): void => {
  const { dialer } = state;
  const { connectDirectly } = dialer;
  const sockets = new Set<Socket>();
  openSockets.set(state, sockets);
  dialer.connectDirectly = (options, callback) => {
    connectDirectly(options, (...result) => {
      if (result[0] === null) sockets.add(result[1]);
      callback(...result);
    });
  };
};

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
    address: { host: buildLoopbackHost(options.subnet, index), port: PEER_PORT },
  }));
  return Promise.all(
    peers.map(async ({ vm, address }) => {
      const forwarder = await startForwarder(context, options);
      observeSockets(forwarder.state);
      const reporter = new LoadReporter({ state: forwarder.state, vm, address });
      context.after(() => reporter.stop());
      await reporter.start();
      await startTunnelServer(context, forwarder.state, address, options.hasBareTunnels === true);
      reporter.setPeers(peers.filter((peer) => peer.vm !== vm));
      return forwarder;
    }),
  );
};
