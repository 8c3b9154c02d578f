import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';

import { Server, ServerCredentials } from '@grpc/grpc-js';
import { SYSTEM_CLOCK, toBranded } from '@sardinegrade/common';
import { createFleetAgent } from '@sardinegrade/fleet';
import { FleetProtocol, openPeerPort } from '@sardinegrade/peer';
import { createPlatformClient } from '@sardinegrade/platform';

import type { FleetAgent } from '@sardinegrade/fleet';
import type { AddressInfo } from 'node:net';
import type { NodeOptions, NodeStatus } from './types.js';

/** A process that runs only fleet agents, so that their cost can be measured. */

const readCounter = (text: string, name: string): number =>
  Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(text)?.[1] ?? 0);

/** Reads the bytes of all reads and writes; apart from sockets, the process does almost no I/O. */
const readBytes = (): { readonly received: number; readonly sent: number } => {
  const text = readFileSync('/proc/self/io', 'utf8');
  return { received: readCounter(text, 'rchar'), sent: readCounter(text, 'wchar') };
};

const startAgent = async (
  options: NodeOptions,
  index: number,
  platform: ReturnType<typeof createPlatformClient>,
): Promise<{ readonly agent: FleetAgent; readonly address: string }> => {
  const agent = createFleetAgent({
    settings: {
      vm: toBranded(`${options.name}-${index}`),
      dataCentre: toBranded(options.dataCentre),
      seeds: options.seeds,
      partnerChoice: options.partnerChoice,
    },
    platform,
    clock: SYSTEM_CLOCK,
    random: Math.random,
  });
  const server = new Server();
  server.addService(FleetProtocol.FleetService, agent.handlers);
  const port = await openPeerPort(server, '127.0.0.1:0', ServerCredentials.createInsecure());
  const address = `127.0.0.1:${port}`;
  agent.start(address);
  return { agent, address };
};

const buildStatus = (agents: readonly FleetAgent[]): NodeStatus => {
  // Available with --expose-gc; collects garbage so that only reachable memory counts.
  globalThis.gc?.();
  const { heapUsed, rss, external } = process.memoryUsage();
  const { user, system } = process.cpuUsage();
  return {
    ...readBytes(),
    cpuMicroseconds: user + system,
    heapBytes: heapUsed + external,
    rssBytes: rss,
    members: agents.map((agent) => agent.getMembers().length),
    generations: agents.map((agent) => agent.getConfigurationStatus().generation),
  };
};

const runNode = async (options: NodeOptions): Promise<void> => {
  const platform = createPlatformClient({ address: options.platform });
  const agents: FleetAgent[] = [];
  let first = '';
  for (let index = 0; index < options.agents; index += 1) {
    const started = await startAgent(options, index, platform);
    agents.push(started.agent);
    first ||= started.address;
  }
  const control = createServer((_request, response) => {
    response.end(JSON.stringify(buildStatus(agents)));
  });
  await new Promise<void>((resolve) => control.listen(0, '127.0.0.1', resolve));
  const { port } = control.address() as AddressInfo;
  const announcement = { event: 'listening', peer: first, control: `127.0.0.1:${port}` };
  process.stdout.write(`${JSON.stringify(announcement)}\n`);
  process.once('SIGTERM', () => process.exit(0));
};

await runNode(JSON.parse(process.argv[2] ?? '') as NodeOptions);
