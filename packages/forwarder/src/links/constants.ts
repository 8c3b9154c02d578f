/** Time in which a bare connection to a worker has to be established, in milliseconds. */
export const PROBE_TIMEOUT_MS = 300;

/** Minimum interval between two checks of the links that failed sends cause, in milliseconds. */
export const CHECK_INTERVAL_MS = 250;

/** Time without data from any worker from which a silent send may be a sign of lost links, in milliseconds. */
export const QUIET_MS = 250;

/** Interval at which lost links are checked, in milliseconds. */
export const RECHECK_INTERVAL_MS = 500;

/** Number of workers that a VM has to reach again before it uses its own links. */
export const MIN_REACHED = 2;

/** Time in which another VM has to open a tunnel, in milliseconds; it includes the VM's connection to the worker. */
export const TUNNEL_TIMEOUT_MS = 400;

/** Time for which a VM that opened no tunnel is not asked again, in milliseconds. */
export const UNUSABLE_MS = 2_000;

/** Maximum number of VMs that are asked for one tunnel. */
export const MAX_TUNNEL_TRIES = 6;

/** Interval at which a draining process checks whether its requests have ended, in milliseconds. */
export const DRAIN_CHECK_INTERVAL_MS = 50;

/** Time before the end of a draining process in which it passes on no new tunnels, in milliseconds: few requests last longer. */
export const NO_TUNNELS_BEFORE_END_MS = 1_500;

/** Maximum number of tunnels that a VM passes on at the same time. */
export const MAX_PASSED_TUNNELS = 256;
