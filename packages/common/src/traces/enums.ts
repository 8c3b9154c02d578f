/** Steps of a request that have a span; the values are the span names. */
export enum Hop {
  /** A request at the entry daemon, from its arrival to the last byte of its answer. */
  Entry = 'entry',
  /** Waiting for a grant, at the daemon that requested it. */
  GrantWait = 'grant_wait',
  /** Deciding on a request for a grant, at the dispatcher. */
  Dispatch = 'dispatch',
  /** One attempt at an upstream. */
  UpstreamAttempt = 'upstream_attempt',
  /** One conditional write of an order record. */
  OrderWrite = 'order_write',
  /** Querying the service for the outcome of an order. */
  OrderLookup = 'order_lookup',
  /** A command to an engine, at the controller. */
  EngineOrder = 'engine_order',
  /** A request to the administration API. */
  Administration = 'administration',
}
