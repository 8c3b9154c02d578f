/**
 * Number of requests that an engine may have, running and queued, for it to get another one of the most urgent rank, as a
 * multiple of its slots. An engine rejects requests when its queue holds twice its slots, that is, at three times its slots;
 * the rest is left for what other VMs send before this VM hears of it.
 */
const URGENT_RUNS_SHARE = 1.5;

/**
 * Decides whether an engine has too many requests for another one to be sent to it. An engine starts the most urgent of the
 * requests in its queue first, so that one of the most urgent rank waits shorter there than at its VM, where it would
 * have to learn of a free slot before all other VMs do.
 *
 * Load pattern: long prompts of less urgent requests fill all slots of an engine, and a slot that becomes free goes to
 * the VM that asks first, whatever waits at the others.
 *
 * @param slots - slots of the engine
 * @param runs - requests of all VMs at the engine, running and queued
 * @param isMostUrgent - whether no request of the service is more urgent and some are less (see `RankTable`)
 * @returns whether the request waits at this VM
 */
export const isEngineFull = (slots: number, runs: number, isMostUrgent: boolean): boolean =>
  runs >= (isMostUrgent ? Math.floor(slots * URGENT_RUNS_SHARE) : slots);
