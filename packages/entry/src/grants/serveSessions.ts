import { DispatchActionKind, DispatchEventKind } from '@sardinegrade/dispatch';

import { LOADS_INTERVAL_MS, SESSION_HEARTBEAT_MS } from './constants.js';
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

/** The dispatcher's end of one session with an entry daemon. */
class ServedSession {
  readonly #stream: SessionStream;
  readonly #host: DispatchHost;
  readonly #clock: Clock;
  /** Asks and grants that the daemon has not ended. */
  readonly #openAsks = new Set<string>();
  /** Asks without a decision. */
  readonly #waiting = new Set<string>();
  readonly #askedShards = new Set<ShardKey>();
  readonly #heartbeat: NodeJS.Timeout;
  #vm = '' as VmId;
  #loadsSentAtMs = 0;
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
      this.#forget(release.askId);
      this.#host.update(release.askId, { kind: DispatchEventKind.Release, release });
    }
    for (const { askId } of message.withdrawals) {
      this.#forget(askId);
      this.#host.update(askId, { kind: DispatchEventKind.Withdraw, askId });
    }
    for (const encoded of message.asks) {
      const ask = decodeAsk(encoded, this.#vm, nowMs);
      this.#openAsks.add(ask.askId);
      if (ask.heldUpstream === undefined) this.#waiting.add(ask.askId);
      this.#askedShards.add(encoded.shard as ShardKey);
      this.#host.ask(encoded.shard as ShardKey, ask, this.#reply);
    }
  };

  readonly #forget = (askId: string): void => {
    this.#openAsks.delete(askId);
    this.#waiting.delete(askId);
  };

  readonly #reply = (action: DispatchAction): void => {
    if ('askId' in action) this.#waiting.delete(action.askId);
    // The daemon ends a refused ask without a word.
    if (action.kind === DispatchActionKind.Refuse) this.#forget(action.askId);
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

  /** Without a waiting ask nobody waits for a sign of life, and nothing is sent. */
  readonly #sendHeartbeat = (): void => {
    if (this.#waiting.size > 0) this.#getOutgoing();
  };

  /** Loads ride on other messages, at most once in a while. */
  readonly #appendLoads = (message: DispatchProtocol.DispatcherMessage): void => {
    const nowMs = this.#clock.getNowMs();
    if (nowMs - this.#loadsSentAtMs < LOADS_INTERVAL_MS) return;
    this.#loadsSentAtMs = nowMs;
    for (const [shard, { queuedByRank, grantedByRank, slots }] of this.#host.listLoads(
      this.#askedShards,
    )) {
      const queued = [...queuedByRank];
      const granted = [...grantedByRank];
      message.loads.push({ shard, queued, granted, slots });
    }
  };

  /** Gives up what the daemon asked for: it is gone, or asks elsewhere. */
  readonly #close = (): void => {
    clearInterval(this.#heartbeat);
    for (const askId of this.#openAsks) {
      this.#host.update(askId, { kind: DispatchEventKind.Withdraw, askId });
    }
    this.#openAsks.clear();
    this.#waiting.clear();
  };
}

/**
 * Builds the gRPC handlers of the dispatch service.
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
    new ServedSession(stream, host, clock);
  },
});
