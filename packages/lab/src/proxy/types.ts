/** Direction of bytes through the proxy. */
export enum Direction {
  /** From the client, which opened the connection, to the target. */
  Up = 'up',
  /** From the target to the client. */
  Down = 'down',
}

/** Faults of one direction. They apply to existing and new connections. */
export interface DirectionFault {
  /** Whether nothing is forwarded, not even the end of a connection. The source is paused, so its data backs up. */
  readonly isMuted: boolean;
  readonly delayMs: number;
  readonly bytesPerSecond: number;
}

/** Current faults of a proxy. */
export interface ProxyFaults {
  readonly up: DirectionFault;
  readonly down: DirectionFault;
  /** Whether new connections are reset immediately. */
  readonly refusesNew: boolean;
}

/** Faults to change. Absent fields keep their current values. */
export interface ProxyFaultChange {
  readonly up?: Partial<DirectionFault>;
  readonly down?: Partial<DirectionFault>;
  readonly refusesNew?: boolean;
}

/** Counters of a proxy since its start. */
export interface ProxyCounts {
  readonly connections: number;
  readonly open: number;
  readonly bytesUp: number;
  readonly bytesDown: number;
}
