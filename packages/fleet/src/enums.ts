/** Kind of a news item. */
export enum NewsKind {
  /** Fingerprint of a request that was running on an upstream when the upstream died. */
  Suspect = 'suspect',
  Quarantined = 'quarantined',
  UpstreamLeaving = 'upstream_leaving',
  UpstreamDead = 'upstream_dead',
}

/** Strategy by which a daemon picks the next member to ping. */
export enum PartnerChoice {
  Uniform = 'uniform',
  /** Every member once per round, in an order shuffled for each round. */
  RoundRobin = 'round_robin',
  /** Neighbours on a hash ring, and occasionally a random member. */
  NearestAndRandom = 'nearest_and_random',
}
