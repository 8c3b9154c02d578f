import type { Socket } from 'node:net';
import type { DirectionFault } from './types.js';

/** Buffered bytes above which the source is paused. */
const BUFFER_LIMIT_BYTES = 262_144;

interface BufferedChunk {
  /** Undefined marks the end of the stream. */
  readonly bytes: Buffer | undefined;
  readonly dueAtMs: number;
}

/** Forwards the bytes of one direction of a connection with the delay, rate limit or muting of its fault. */
export class Pipe {
  private readonly source: Socket;
  private readonly sink: Socket;
  private readonly getFault: () => DirectionFault;
  private readonly onBytes: (count: number) => void;
  private readonly buffered: BufferedChunk[] = [];
  private bufferedBytes = 0;
  private lastDueAtMs = 0;
  private isMutedPermanently = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    source: Socket,
    sink: Socket,
    getFault: () => DirectionFault,
    onBytes: (count: number) => void,
  ) {
    this.source = source;
    this.sink = sink;
    this.getFault = getFault;
    this.onBytes = onBytes;
    source.on('data', (bytes: Buffer) => this.push(bytes));
    source.on('end', () => this.push(undefined));
    sink.on('drain', () => this.update());
    this.update();
  }

  get isMuted(): boolean {
    return this.isMutedPermanently || this.getFault().isMuted;
  }

  /** Mutes this direction of the connection permanently. */
  pausePermanently(): void {
    this.isMutedPermanently = true;
    this.update();
  }

  /** Applies the current fault: reschedules forwarding and pauses or resumes the source. */
  update(): void {
    this.schedule();
    const shouldPause =
      this.isMuted || this.bufferedBytes > BUFFER_LIMIT_BYTES || this.sink.writableNeedDrain;
    if (shouldPause) this.source.pause();
    else this.source.resume();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.buffered.length = 0;
  }

  private push(bytes: Buffer | undefined): void {
    const { delayMs, bytesPerSecond } = this.getFault();
    const nowMs = Date.now();
    const sendMs = ((bytes?.length ?? 0) / bytesPerSecond) * 1_000;
    const dueAtMs = Math.max(nowMs + delayMs, this.lastDueAtMs) + sendMs;
    this.lastDueAtMs = dueAtMs;
    this.buffered.push({ bytes, dueAtMs });
    this.bufferedBytes += bytes?.length ?? 0;
    this.forwardDue();
  }

  private forwardDue(): void {
    const nowMs = Date.now();
    while (!this.isMuted) {
      const [first] = this.buffered;
      if (first === undefined || first.dueAtMs > nowMs) break;
      this.buffered.shift();
      this.forward(first.bytes);
    }
    this.update();
  }

  private forward(bytes: Buffer | undefined): void {
    if (bytes === undefined) {
      this.sink.end();
      return;
    }
    this.bufferedBytes -= bytes.length;
    this.onBytes(bytes.length);
    if (this.sink.writable) this.sink.write(bytes);
  }

  private schedule(): void {
    clearTimeout(this.timer);
    const [first] = this.buffered;
    if (first === undefined || this.isMuted) return;
    this.timer = setTimeout(() => this.forwardDue(), Math.max(0, first.dueAtMs - Date.now()));
  }
}
