/** Which message is cancelled if there are too many bytes in all. */
export enum CancelOrder {
  /** The one that needs most, so that few are cancelled. */
  Largest = 'largest',
  /** The one that came last, so that those before it become whole. */
  Newest = 'newest',
}

/** Limits of the bytes that are held at the same time. */
export interface HeldBytesLimits {
  /** Maximum number of bytes of all messages together. */
  readonly maxBytes: number;
  /** Size up to which a message is not cancelled, in bytes. */
  readonly sparedBytes: number;
  readonly cancelOrder: CancelOrder;
}

/** Cancels a message, and identifies it: always the same function for one message. */
type Cancel = () => void;

type CancellableMessage = readonly [cancel: Cancel, bytes: number];

/** Selects a message from those that may be cancelled, in the order of their arrival. */
const SELECTORS: Readonly<
  Record<CancelOrder, (messages: readonly CancellableMessage[]) => CancellableMessage | undefined>
> = {
  [CancelOrder.Largest]: (messages) => messages.toSorted((one, other) => other[1] - one[1])[0],
  [CancelOrder.Newest]: (messages) => messages.at(-1),
};

/** Limits the bytes of bodies that are held at the same time, of requests or of answers. */
export class HeldBytes {
  readonly #bytes = new Map<Cancel, number>();
  /** The messages that are whole, and are not cancelled any more. */
  readonly #whole = new Set<Cancel>();
  #totalBytes = 0;

  /** @param limits - limits of all messages together */
  constructor(private readonly limits: HeldBytesLimits) {}

  /** Bytes of all messages together. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Adds bytes to a message. Cancels messages that are not whole while there are too many bytes in all.
   *
   * @param cancel - cancels the message
   * @param bytes - number of bytes received
   */
  add(cancel: Cancel, bytes: number): void {
    this.#bytes.set(cancel, (this.#bytes.get(cancel) ?? 0) + bytes);
    this.#totalBytes += bytes;
    while (this.#totalBytes > this.limits.maxBytes) {
      const selected = SELECTORS[this.limits.cancelOrder](this.#listCancellable());
      if (selected === undefined) return;
      const [cancelSelected] = selected;
      this.remove(cancelSelected);
      cancelSelected();
    }
  }

  /** Keeps a message that is whole: it counts until it is removed, and is not cancelled. */
  keep(cancel: Cancel): void {
    if (this.#bytes.has(cancel)) this.#whole.add(cancel);
  }

  /** Removes a message that was finished or cancelled. */
  remove(cancel: Cancel): void {
    this.#totalBytes -= this.#bytes.get(cancel) ?? 0;
    this.#bytes.delete(cancel);
    this.#whole.delete(cancel);
  }

  #listCancellable(): readonly CancellableMessage[] {
    const { sparedBytes } = this.limits;
    return [...this.#bytes].filter(
      ([cancel, bytes]) => bytes > sparedBytes && !this.#whole.has(cancel),
    );
  }
}
