import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Size from which the memory of a message is counted: smaller buffers are collected in time, in bytes. */
const MIN_RELEASED_BYTES = 4 * 1_024;

let collect: (() => void) | undefined;

/** Collects all garbage of this process at once. */
export const collectGarbage = (): void => {
  if (collect === undefined) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as () => void;
  }
  collect();
};

/**
 * Collects garbage after so many bytes have been released. V8 collects the memory of buffers only after 64 MB more of it, whatever
 * the memory of the VM is, so what clients made this VM hold and release again counts for that long.
 */
export class GarbageCollector {
  #releasedBytes = 0;

  /** @param limitBytes - number of released bytes after which garbage is collected */
  constructor(private readonly limitBytes: number) {}

  /**
   * Records memory that has become garbage.
   *
   * @param bytes - number of bytes
   */
  readonly recordReleased = (bytes: number): void => {
    if (bytes < MIN_RELEASED_BYTES) return;
    this.#releasedBytes += bytes;
    if (this.#releasedBytes < this.limitBytes) return;
    this.#releasedBytes = 0;
    // At once: one iteration of the event loop may receive more than the memory of the VM.
    collectGarbage();
  };
}
