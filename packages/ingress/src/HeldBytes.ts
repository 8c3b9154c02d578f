/** Which message is cancelled if there are too many bytes in all, among those of the owner that holds most. */
export enum CancelOrder {
  /** The one that needs most, so that few are cancelled. */
  Largest = 'largest',
  /** The one that came last, so that those before it become whole. */
  Newest = 'newest',
  /** The one that came first, because it has made no progress for the longest time. */
  Oldest = 'oldest',
}

/** Whose messages are weighed together, such as a workspace; undefined for all clients that are not known. */
export type Owner = string | undefined;

/** Limits of `HeldBytes` that a message may exceed. */
export enum HeldBytesLimit {
  Bytes = 'bytes',
  OpenMessages = 'open_messages',
}

/** Limits of the bytes that are held at the same time. */
export interface HeldBytesLimits {
  /** Maximum number of bytes of all messages together. */
  readonly maxBytes: number;
  /**
   * Size up to which a message is not cancelled while larger ones can be, in bytes. Such messages may use a quarter of
   * `maxBytes` beyond it; then those that came first are cancelled.
   */
  readonly sparedBytes: number;
  readonly cancelOrder: CancelOrder;
  /** Maximum number of messages that are not whole; those that came first are cancelled. Unlimited by default. */
  readonly maxOpen?: number;
  /** Called with the number of bytes of a message that is removed, however it ended. */
  readonly onRemoved?: (bytes: number) => void;
  /** Called for each message that is cancelled, with its owner and which limit was exceeded. */
  readonly onCancelled?: (owner: Owner, limit: HeldBytesLimit) => void;
}

/** Cancels a message, and identifies it: always the same function for one message. */
type Cancel = () => void;

interface HeldMessage {
  readonly bytes: number;
  readonly owner: Owner;
}

/** What the messages of one owner need. */
interface OwnerTotal {
  readonly bytes: number;
  readonly messages: number;
}

/** Messages that may be cancelled, in the order of their arrival. */
type OpenMessages = ReadonlyMap<Cancel, HeldMessage>;

type MessageFilter = (message: HeldMessage) => boolean;

/** A message to cancel, and why. */
interface Selection {
  readonly cancel: Cancel;
  readonly limit: HeldBytesLimit;
}

/** Part of `maxBytes` that only spared messages use beyond it. */
const SPARED_SHARE = 0.25;

const NO_TOTAL: OwnerTotal = { bytes: 0, messages: 0 };

const findFirst = (messages: OpenMessages, isWanted: MessageFilter): Cancel | undefined => {
  for (const [cancel, message] of messages) if (isWanted(message)) return cancel;
  return undefined;
};

const findNewest = (messages: OpenMessages, isWanted: MessageFilter): Cancel | undefined => {
  let found: Cancel | undefined;
  for (const [cancel, message] of messages) if (isWanted(message)) found = cancel;
  return found;
};

const findLargest = (messages: OpenMessages, isWanted: MessageFilter): Cancel | undefined => {
  let found: Cancel | undefined;
  let most = 0;
  for (const [cancel, message] of messages) {
    if (message.bytes <= most || !isWanted(message)) continue;
    found = cancel;
    most = message.bytes;
  }
  return found;
};

type Finder = typeof findFirst;

/** Finds the message to cancel among those of a wanted size. */
const FINDERS: Readonly<Record<CancelOrder, Finder>> = {
  [CancelOrder.Largest]: findLargest,
  [CancelOrder.Newest]: findNewest,
  [CancelOrder.Oldest]: findFirst,
};

/**
 * Limits the memory of bodies that are held at the same time, of requests or of answers. The owner that holds most gives way
 * first, so that a client which exceeds the limits does not use up what others share.
 */
export class HeldBytes {
  readonly #open = new Map<Cancel, HeldMessage>();
  /** The messages that are whole, and are not cancelled any more. */
  readonly #whole = new Map<Cancel, HeldMessage>();
  readonly #owners = new Map<Owner, OwnerTotal>();
  #totalBytes = 0;

  /** @param limits - limits of all messages together */
  constructor(private readonly limits: HeldBytesLimits) {}

  /** Bytes of all messages together. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Number of messages that are not whole. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Adds bytes to a message. Cancels messages that are not whole while there are too many bytes in all. Only a call that
   * exceeds a limit looks at other messages, and cancels one of them each time it does.
   *
   * @param cancel - cancels the message
   * @param bytes - number of bytes that the message needs more than before
   * @param owner - owner of the message, which its first call decides
   */
  add(cancel: Cancel, bytes: number, owner?: Owner): void {
    const known = this.#open.get(cancel);
    const message = { bytes: (known?.bytes ?? 0) + bytes, owner: known?.owner ?? owner };
    this.#open.set(cancel, message);
    this.#addToOwner(message.owner, bytes, known === undefined ? 1 : 0);
    this.#totalBytes += bytes;
    for (let selected = this.#select(); selected !== undefined; selected = this.#select()) {
      const cancelled = this.#open.get(selected.cancel);
      this.remove(selected.cancel);
      this.limits.onCancelled?.(cancelled?.owner, selected.limit);
      selected.cancel();
    }
  }

  /** Keeps a message that is whole: it counts until it is removed, and is not cancelled. */
  keep(cancel: Cancel): void {
    const message = this.#open.get(cancel);
    if (message === undefined) return;
    this.#open.delete(cancel);
    this.#whole.set(cancel, message);
  }

  /** Removes a message that was finished or cancelled. */
  remove(cancel: Cancel): void {
    const message = this.#open.get(cancel) ?? this.#whole.get(cancel);
    if (message === undefined) return;
    const { bytes, owner } = message;
    this.#totalBytes -= bytes;
    this.#addToOwner(owner, -bytes, -1);
    this.#open.delete(cancel);
    this.#whole.delete(cancel);
    this.limits.onRemoved?.(bytes);
  }

  #addToOwner(owner: Owner, bytes: number, messages: number): void {
    const known = this.#owners.get(owner) ?? NO_TOTAL;
    const total = { bytes: known.bytes + bytes, messages: known.messages + messages };
    if (total.messages === 0) this.#owners.delete(owner);
    else this.#owners.set(owner, total);
  }

  /** Selects the message to cancel; undefined if there are not too many. */
  #select(): Selection | undefined {
    const { maxBytes, sparedBytes, cancelOrder, maxOpen = Infinity } = this.limits;
    const isSpared = ({ bytes }: HeldMessage): boolean => bytes <= sparedBytes;
    const isLarge = ({ bytes }: HeldMessage): boolean => bytes > sparedBytes;
    if (this.#totalBytes > maxBytes) {
      const cancel = this.#find(FINDERS[cancelOrder], isLarge, 'bytes');
      if (cancel !== undefined) return { cancel, limit: HeldBytesLimit.Bytes };
    }
    const isTooMuch = this.#totalBytes > maxBytes * (1 + SPARED_SHARE);
    if (!isTooMuch && this.#open.size <= maxOpen) return undefined;
    const weight = isTooMuch ? 'bytes' : 'messages';
    const cancel =
      this.#find(findFirst, isSpared, weight) ?? this.#find(findNewest, isLarge, weight);
    const limit = isTooMuch ? HeldBytesLimit.Bytes : HeldBytesLimit.OpenMessages;
    return cancel && { cancel, limit };
  }

  /** Finds a message to cancel among the wanted ones of the owner that holds most and has any of them. */
  #find(
    findMessage: Finder,
    isWanted: MessageFilter,
    weight: keyof OwnerTotal,
  ): Cancel | undefined {
    if (this.#owners.size <= 1) return findMessage(this.#open, isWanted);
    let owner: Owner;
    let most = 0;
    for (const message of this.#open.values()) {
      const held = this.#owners.get(message.owner)?.[weight] ?? 0;
      if (held <= most || !isWanted(message)) continue;
      ({ owner } = message);
      most = held;
    }
    return findMessage(this.#open, (message) => message.owner === owner && isWanted(message));
  }
}
