/** The hops of a request; each has a span. */
export enum Hop {
  /** A request at the entry daemon, from arrival to its last byte. */
  Entry = 'entry',
  /** Waiting for a grant, at the daemon that asks. */
  GrantWait = 'grant_wait',
  /** Deciding on an ask, at the dispatcher. */
  Dispatch = 'dispatch',
  /** One attempt at an upstream. */
  UpstreamAttempt = 'upstream_attempt',
  /** One conditional write of an order's record. */
  OrderWrite = 'order_write',
  /** A look-up of an order's fate at its service. */
  OrderLookup = 'order_lookup',
  /** An order to an engine, at the controller. */
  EngineOrder = 'engine_order',
  /** A request to the administration API. */
  Administration = 'administration',
}
