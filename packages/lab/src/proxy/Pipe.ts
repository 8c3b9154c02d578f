import type { Socket } from 'node:net';
import type { DirectionFault } from './types.js';

/** Bytes held back before the source is asked to wait. */
const HELD_LIMIT_BYTES = 262_144;

interface HeldChunk {
  /** Undefined for the end of the stream. */
  readonly bytes: Buffer | undefined;
  readonly dueAtMs: number;
}

/** Passes the bytes of one direction of a connection, late, slowly or not at all. */
export class Pipe {
  private readonly source: Socket;
  private readonly sink: Socket;
  private readonly getFault: () => DirectionFault;
  private readonly onBytes: (count: number) => void;
  private readonly held: HeldChunk[] = [];
  private heldBytes = 0;
  private lastDueAtMs = 0;
  private isMutedForGood = false;
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
    return this.isMutedForGood || this.getFault().isMuted;
  }

  /** Silences this direction of this connection for good. */
  pauseForGood(): void {
    this.isMutedForGood = true;
    this.update();
  }

  /** Takes a change of the faults into account. */
  update(): void {
    this.schedule();
    const mustWait =
      this.isMuted || this.heldBytes > HELD_LIMIT_BYTES || this.sink.writableNeedDrain;
    if (mustWait) this.source.pause();
    else this.source.resume();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.held.length = 0;
  }

  private push(bytes: Buffer | undefined): void {
    const { delayMs, bytesPerSecond } = this.getFault();
    const nowMs = Date.now();
    const sendMs = ((bytes?.length ?? 0) / bytesPerSecond) * 1_000;
    const dueAtMs = Math.max(nowMs + delayMs, this.lastDueAtMs) + sendMs;
    this.lastDueAtMs = dueAtMs;
    this.held.push({ bytes, dueAtMs });
    this.heldBytes += bytes?.length ?? 0;
    this.forwardDue();
  }

  private forwardDue(): void {
    const nowMs = Date.now();
    while (!this.isMuted) {
      const [first] = this.held;
      if (first === undefined || first.dueAtMs > nowMs) break;
      this.held.shift();
      this.forward(first.bytes);
    }
    this.update();
  }

  private forward(bytes: Buffer | undefined): void {
    if (bytes === undefined) {
      this.sink.end();
      return;
    }
    this.heldBytes -= bytes.length;
    this.onBytes(bytes.length);
    if (this.sink.writable) this.sink.write(bytes);
  }

  private schedule(): void {
    clearTimeout(this.timer);
    const [first] = this.held;
    if (first === undefined || this.isMuted) return;
    this.timer = setTimeout(() => this.forwardDue(), Math.max(0, first.dueAtMs - Date.now()));
  }
}
