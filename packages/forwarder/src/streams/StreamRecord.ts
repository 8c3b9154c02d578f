import { STREAM_LIFETIME_MS } from '@sardinegrade/routing';

import type { RequestId } from '@sardinegrade/common';
import type { ForwarderState } from '../ForwarderState.js';
import type { RecordedStream, TableStore } from './TableStore.js';

/** Shortest time between two writes, in milliseconds, and its increase with each VM of the fleet. */
const MIN_WRITE_INTERVAL_MS = 400;
const WRITE_INTERVAL_PER_VM_MS = 20;

/** Maximum number of streams in the record of a VM; the newest are kept. */
const MAX_STREAMS = 500;

/** Records in the store where single streams of this VM began. */
export class StreamRecord {
  #written: ReadonlySet<RequestId> = new Set();
  /** Streams that an earlier process of this VM has recorded; undefined until they were read. */
  #earlier: readonly RecordedStream[] | undefined;
  #earlierUntilMs = Number.NEGATIVE_INFINITY;
  #nextWriteAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param store - the record
   * @param state - the forwarder's state
   */
  constructor(
    private readonly store: TableStore,
    private readonly state: ForwarderState,
  ) {}

  /**
   * Records streams unless all of them are recorded. Rejects if the store does not answer.
   *
   * @param streams - streams of this VM that the tables do not tell
   */
  async write(streams: readonly RecordedStream[]): Promise<void> {
    const { options, sharedLoad } = this.state;
    const nowMs = options.getNowMs();
    if (nowMs < this.#nextWriteAtMs) return;
    if (streams.every(({ request }) => this.#written.has(request))) return;
    const intervalMs = WRITE_INTERVAL_PER_VM_MS * (sharedLoad.countLive(nowMs) + 1);
    this.#nextWriteAtMs = nowMs + Math.max(MIN_WRITE_INTERVAL_MS, intervalMs);
    const earlier = await this.#readEarlier();
    await this.store.writeStreams([...earlier, ...streams].slice(-MAX_STREAMS));
    this.#written = new Set(streams.map(({ request }) => request));
  }

  /** Reads what an earlier process has recorded: the write replaces it. */
  async #readEarlier(): Promise<readonly RecordedStream[]> {
    const nowMs = this.state.options.getNowMs();
    if (this.#earlier === undefined) {
      const streams = await this.store.listStreams();
      this.#earlier = streams.filter(({ vm }) => vm === this.store.vm);
      this.#earlierUntilMs = nowMs + STREAM_LIFETIME_MS;
    }
    return nowMs < this.#earlierUntilMs ? this.#earlier : [];
  }
}
