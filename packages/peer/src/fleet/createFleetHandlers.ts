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

/** Functions that compute a daemon's replies to other daemons. */
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
 * Wraps a daemon's responders as handlers of a gRPC server. Errors that they throw are sent with status INTERNAL.
 *
 * @param responders - functions that compute the replies
 * @returns handlers for `FleetService`
 */
export const createFleetHandlers = (responders: FleetResponders): FleetServer => ({
  ping: wrapResponder(responders.ping),
  pingIndirect: wrapResponder(responders.pingIndirect),
  sync: wrapResponder(responders.sync),
  fetchConfiguration: wrapResponder(responders.fetchConfiguration),
});
