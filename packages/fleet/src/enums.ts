/** What a piece of news is about. */
export enum NewsKind {
  /** A request's fingerprint that was running on an upstream when it died. */
  Suspect = 'suspect',
  Quarantined = 'quarantined',
  UpstreamLeaving = 'upstream_leaving',
  UpstreamDead = 'upstream_dead',
}

/** How a daemon picks the next member to ping. */
export enum PartnerChoice {
  Uniform = 'uniform',
  /** Every member once, in an order shuffled anew for each round. */
  RoundRobin = 'round_robin',
  /** Neighbours on a ring of hashes, with some members at random. */
  NearestAndRandom = 'nearest_and_random',
}
