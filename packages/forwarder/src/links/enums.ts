/** Signs that this VM may have lost its links. */
export enum LinkSign {
  /** A connection to a worker could not be established. */
  NotConnected = 'not_connected',
  /** An open connection broke. */
  Broken = 'broken',
  /** An answer or event did not arrive in time. */
  Silent = 'silent',
  /** The links are known to be lost and are checked again. */
  Lost = 'lost',
}

/** Which way a connection to a worker goes, and thereby how its end is told. */
export enum ConnectionPath {
  /** No VM is between: the operating system tells an orderly end from a reset. */
  Direct = 'direct',
  /** Another VM passes on the bytes in frames, and says how the worker has ended. */
  Tunnel = 'tunnel',
  /** An older VM passes on the bare bytes: an orderly end may hide that the worker was reset, or that the VM has died. */
  BareTunnel = 'bare_tunnel',
}

/** Why a VM does not open a tunnel, or that it has. */
export enum TunnelOutcome {
  Opened = 'opened',
  /** The caller is no VM that the store knows. */
  UnknownVm = 'unknown_vm',
  /** No usable worker has this address, as far as the VM knows. */
  UnknownWorker = 'unknown_worker',
  /** The VM is draining, and passes on only for VMs that find no other. */
  Draining = 'draining',
  /** The VM is about to end, passes on enough tunnels, or has lost its own links. */
  Unavailable = 'unavailable',
  /** The VM could not connect to the worker. */
  Unreachable = 'unreachable',
  /** The VM did not answer. */
  NoAnswer = 'no_answer',
}
