import { status } from '@grpc/grpc-js';

import type { handleUnaryCall, sendUnaryData } from '@grpc/grpc-js';
import type {
  FetchConfigurationReply,
  FetchConfigurationRequest,
  FleetServer,
  PingIndirectReply,
  PingIndirectRequest,
  PingReply,
  PingRequest,
  SyncReply,
  SyncRequest,
} from '../generated/fleet.js';

/** What a daemon answers to others. */
export interface FleetResponders {
  readonly ping: (request: PingRequest) => PingReply;
  readonly pingIndirect: (request: PingIndirectRequest) => Promise<PingIndirectReply>;
  readonly sync: (request: SyncRequest) => SyncReply;
  readonly fetchConfiguration: (request: FetchConfigurationRequest) => FetchConfigurationReply;
}

const replyWith = async <Reply>(
  respond: () => Reply | Promise<Reply>,
  callback: sendUnaryData<Reply>,
): Promise<void> => {
  try {
    callback(null, await respond());
  } catch (error) {
    callback({ code: status.INTERNAL, details: error instanceof Error ? error.message : 'failed' });
  }
};

const wrapResponder =
  <Request, Reply>(
    respond: (request: Request) => Reply | Promise<Reply>,
  ): handleUnaryCall<Request, Reply> =>
  (call, callback) => {
    void replyWith(() => respond(call.request), callback);
  };

/**
 * Turns a daemon's answers into handlers of a gRPC server. What they throw becomes an error reply.
 *
 * @param responders - the answers
 * @returns handlers for `FleetService`
 */
export const createFleetHandlers = (responders: FleetResponders): FleetServer => ({
  ping: wrapResponder(responders.ping),
  pingIndirect: wrapResponder(responders.pingIndirect),
  sync: wrapResponder(responders.sync),
  fetchConfiguration: wrapResponder(responders.fetchConfiguration),
});
