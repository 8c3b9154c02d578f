import { Metadata } from '@grpc/grpc-js';

import { FleetClient } from '../generated/fleet.js';
import {
  CHANNEL_LIMIT,
  KEEPALIVE_TIMEOUT_MS,
  KEEPALIVE_TIME_MS,
  PEER_CERTIFICATE_NAME,
  RECONNECT_BACKOFF_LIMIT_MS,
  RECONNECT_BACKOFF_MS,
} from './constants.js';

import type { CallOptions, ChannelCredentials, ClientUnaryCall, ServiceError } from '@grpc/grpc-js';
import type {
  FetchConfigurationReply,
  FetchConfigurationRequest,
  PingIndirectReply,
  PingIndirectRequest,
  PingReply,
  PingRequest,
  SyncReply,
  SyncRequest,
} from '../generated/fleet.js';

/** Calls the daemon at an address (`host:port`); rejects if there is no reply within the timeout. */
export type PeerCall<Request, Reply> = (
  address: string,
  request: Request,
  timeoutMs: number,
) => Promise<Reply>;

/** Calls to other daemons over cached channels. */
export interface FleetConnections {
  readonly ping: PeerCall<PingRequest, PingReply>;
  /** Pings over a new channel, which replaces the cached one if the ping succeeds. */
  readonly pingFresh: PeerCall<PingRequest, PingReply>;
  readonly pingIndirect: PeerCall<PingIndirectRequest, PingIndirectReply>;
  readonly sync: PeerCall<SyncRequest, SyncReply>;
  readonly fetchConfiguration: PeerCall<FetchConfigurationRequest, FetchConfigurationReply>;
  readonly close: () => void;
}

type UnaryCallback<Reply> = (error: ServiceError | null, reply: Reply) => void;

type Invoke<Reply> = (
  client: FleetClient,
  options: Partial<CallOptions>,
  callback: UnaryCallback<Reply>,
) => ClientUnaryCall;

const CHANNEL_OPTIONS = {
  // With the shared pool, a new client would reuse a connection that no longer responds.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.keepalive_time_ms': KEEPALIVE_TIME_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.initial_reconnect_backoff_ms': RECONNECT_BACKOFF_MS,
  'grpc.max_reconnect_backoff_ms': RECONNECT_BACKOFF_LIMIT_MS,
  'grpc.ssl_target_name_override': PEER_CERTIFICATE_NAME,
  'grpc.enable_http_proxy': 0,
  'grpc.enable_retries': 0,
  'grpc.enable_channelz': 0,
  'grpc.service_config_disable_resolution': 1,
};

const startCall = <Reply>(
  client: FleetClient,
  timeoutMs: number,
  invoke: Invoke<Reply>,
): Promise<Reply> =>
  new Promise((resolve, reject) => {
    invoke(client, { deadline: Date.now() + timeoutMs }, (error, reply) => {
      if (error === null) resolve(reply);
      else reject(error);
    });
  });

/**
 * Creates the calls to other daemons. A connection is opened on the first call to an address.
 *
 * @param channelCredentials - insecure or for mutual TLS
 * @returns the calls, and a function that closes all channels
 */
export const createFleetConnections = (
  channelCredentials: ChannelCredentials,
): FleetConnections => {
  // Maps iterate in insertion order, and each use inserts the client again: the first key is the least recently used.
  const clients = new Map<string, FleetClient>();

  const openClient = (address: string): FleetClient =>
    new FleetClient(address, channelCredentials, CHANNEL_OPTIONS);

  const removeClient = (address: string, client: FleetClient): void => {
    if (clients.get(address) === client) clients.delete(address);
    client.close();
  };

  const keepClient = (address: string, client: FleetClient): void => {
    const previous = clients.get(address);
    clients.delete(address);
    clients.set(address, client);
    if (previous !== undefined && previous !== client) previous.close();
    for (const [oldest, unused] of clients) {
      if (clients.size <= CHANNEL_LIMIT) return;
      removeClient(oldest, unused);
    }
  };

  const runCall = async <Reply>(
    address: string,
    timeoutMs: number,
    invoke: Invoke<Reply>,
    cached: FleetClient | undefined,
  ): Promise<Reply> => {
    const client = cached ?? openClient(address);
    if (cached !== undefined) keepClient(address, client);
    try {
      const reply = await startCall(client, timeoutMs, invoke);
      if (cached === undefined) keepClient(address, client);
      return reply;
    } catch (error) {
      removeClient(address, client);
      throw error;
    }
  };

  const callCachedClient = <Reply>(
    address: string,
    timeoutMs: number,
    invoke: Invoke<Reply>,
  ): Promise<Reply> =>
    runCall(address, timeoutMs, invoke, clients.get(address) ?? openClient(address));

  return {
    ping: (address, request, timeoutMs) =>
      callCachedClient(address, timeoutMs, (client, options, callback) =>
        client.ping(request, new Metadata(), options, callback),
      ),
    pingFresh: (address, request, timeoutMs) =>
      runCall(
        address,
        timeoutMs,
        (client, options, callback) => client.ping(request, new Metadata(), options, callback),
        undefined,
      ),
    pingIndirect: (address, request, timeoutMs) =>
      callCachedClient(address, timeoutMs, (client, options, callback) =>
        client.pingIndirect(request, new Metadata(), options, callback),
      ),
    sync: (address, request, timeoutMs) =>
      callCachedClient(address, timeoutMs, (client, options, callback) =>
        client.sync(request, new Metadata(), options, callback),
      ),
    fetchConfiguration: (address, request, timeoutMs) =>
      callCachedClient(address, timeoutMs, (client, options, callback) =>
        client.fetchConfiguration(request, new Metadata(), options, callback),
      ),
    close: () => {
      for (const client of clients.values()) client.close();
      clients.clear();
    },
  };
};
