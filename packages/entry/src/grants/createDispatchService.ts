import { DispatchActionKind, DispatchEventKind } from '@sardinegrade/dispatch';

import { LOAD_REPORT_INTERVAL_MS, SESSION_HEARTBEAT_MS } from './constants.js';
import { appendAction, createDispatcherMessage, decodeAsk, decodeRelease } from './messages.js';

import type { ServerDuplexStream } from '@grpc/grpc-js';
import type { Clock, VmId } from '@sardinegrade/common';
import type { DispatchAction } from '@sardinegrade/dispatch';
import type { DispatchProtocol } from '@sardinegrade/peer';
import type { DispatchHost } from './DispatchHost.js';
import type { ShardKey } from './types.js';

type SessionStream = ServerDuplexStream<
  DispatchProtocol.EntryMessage,
  DispatchProtocol.DispatcherMessage
>;

/** Server side of a gRPC session between an entry daemon and the dispatchers of this daemon. */
class DispatchSession {
  readonly #stream: SessionStream;
  readonly #host: DispatchHost;
  readonly #clock: Clock;
  /** Grant requests and grants that the entry daemon has not ended. */
  readonly #openAskIds = new Set<string>();
  /** Grant requests without a decision. */
  readonly #undecidedAskIds = new Set<string>();
  readonly #requestedShards = new Set<ShardKey>();
  readonly #heartbeat: NodeJS.Timeout;
  #vm = '' as VmId;
  #lastLoadReportAtMs = 0;
  #outgoing: DispatchProtocol.DispatcherMessage | undefined;

  constructor(stream: SessionStream, host: DispatchHost, clock: Clock) {
    this.#stream = stream;
    this.#host = host;
    this.#clock = clock;
    this.#heartbeat = setInterval(this.#sendHeartbeat, SESSION_HEARTBEAT_MS);
    stream.on('data', this.#handleMessage);
    stream.on('error', this.#close);
    stream.on('end', () => {
      this.#close();
      stream.end();
    });
    stream.on('cancelled', this.#close);
  }

  readonly #handleMessage = (message: DispatchProtocol.EntryMessage): void => {
    if (message.vm !== '') this.#vm = message.vm as VmId;
    const nowMs = this.#clock.getNowMs();
    for (const { askId, tokens } of message.progress) {
      this.#host.update(askId, { kind: DispatchEventKind.Progress, askId, tokens });
    }
    for (const encoded of message.releases) {
      const release = decodeRelease(encoded);
      this.#removeAsk(release.askId);
      this.#host.update(release.askId, { kind: DispatchEventKind.Release, release });
    }
    for (const { askId } of message.withdrawals) {
      this.#removeAsk(askId);
      this.#host.update(askId, { kind: DispatchEventKind.Withdraw, askId });
    }
    for (const encoded of message.asks) {
      const ask = decodeAsk(encoded, this.#vm, nowMs);
      this.#openAskIds.add(ask.askId);
      if (ask.heldUpstream === undefined) this.#undecidedAskIds.add(ask.askId);
      this.#requestedShards.add(encoded.shard as ShardKey);
      this.#host.requestGrant(encoded.shard as ShardKey, ask, this.#reply);
    }
  };

  readonly #removeAsk = (askId: string): void => {
    this.#openAskIds.delete(askId);
    this.#undecidedAskIds.delete(askId);
  };

  readonly #reply = (action: DispatchAction): void => {
    if ('askId' in action) this.#undecidedAskIds.delete(action.askId);
    // The entry daemon sends neither a withdrawal nor a release for a refused request.
    if (action.kind === DispatchActionKind.Refuse) this.#removeAsk(action.askId);
    appendAction(this.#getOutgoing(), action);
  };

  readonly #getOutgoing = (): DispatchProtocol.DispatcherMessage => {
    if (this.#outgoing !== undefined) return this.#outgoing;
    this.#outgoing = createDispatcherMessage();
    setImmediate(this.#flush);
    return this.#outgoing;
  };

  readonly #flush = (): void => {
    const message = this.#outgoing;
    this.#outgoing = undefined;
    if (message === undefined || !this.#stream.writable) return;
    this.#appendLoads(message);
    this.#stream.write(message);
  };

  /** Sends a message, empty if need be, only while the entry daemon waits for a decision. */
  readonly #sendHeartbeat = (): void => {
    if (this.#undecidedAskIds.size > 0) this.#getOutgoing();
  };

  /** Adds shard loads to an outgoing message, at most once per `LOAD_REPORT_INTERVAL_MS`. */
  readonly #appendLoads = (message: DispatchProtocol.DispatcherMessage): void => {
    const nowMs = this.#clock.getNowMs();
    if (nowMs - this.#lastLoadReportAtMs < LOAD_REPORT_INTERVAL_MS) return;
    this.#lastLoadReportAtMs = nowMs;
    for (const [shard, { queuedByRank, grantedByRank, slots }] of this.#host.listLoads(
      this.#requestedShards,
    )) {
      const queued = [...queuedByRank];
      const granted = [...grantedByRank];
      message.loads.push({ shard, queued, granted, slots });
    }
  };

  /** Withdraws all requests and grants of the entry daemon: it has stopped, or uses another dispatcher now. */
  readonly #close = (): void => {
    clearInterval(this.#heartbeat);
    for (const askId of this.#openAskIds) {
      this.#host.update(askId, { kind: DispatchEventKind.Withdraw, askId });
    }
    this.#openAskIds.clear();
    this.#undecidedAskIds.clear();
  };
}

/**
 * Creates the gRPC handlers of the dispatch service.
 *
 * @param host - the dispatchers of this daemon
 * @param clock - time source
 * @returns the implementation to register with a gRPC server
 */
export const createDispatchService = (
  host: DispatchHost,
  clock: Clock,
): DispatchProtocol.DispatchServer => ({
  session: (stream) => {
    new DispatchSession(stream, host, clock);
  },
});
