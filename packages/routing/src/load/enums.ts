/** Whose load a message reports, and to whom. */
export enum LoadScope {
  /** Load of the sender and of the VMs that report to it, sent to all relays; in a small fleet each VM counts as one. */
  ForAll = 'for_all',
  /**
   * The same load, sent to the relay in use (and at times to the preferred one, as a probe), which forwards it and
   * replies with digests.
   */
  ForRelay = 'for_relay',
  /** Load of all VMs except the receiver, as known to the sender. */
  Digest = 'digest',
  /** No load: the message carries placements that did not fit into the previous one, or evidence about prompt parts. */
  News = 'news',
}

/** What a VM does in the exchange of load messages. */
export enum PeerRole {
  /** Reports to all other VMs, as each VM of a small fleet does. */
  Direct = 'direct',
  /** Forwards what others report. */
  Relay = 'relay',
  /** Reports to a relay, and hears of the others through it. */
  Subscriber = 'subscriber',
}
