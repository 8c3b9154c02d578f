/** The two ways through the proxy. */
export enum Direction {
  /** From the side that opened the connection to the target. */
  Up = 'up',
  Down = 'down',
}

/** Faults of one direction, for existing and new connections. */
export interface DirectionFault {
  /** Nothing passes, not even the end of a connection; what was sent stays with the sender. */
  readonly isMuted: boolean;
  readonly delayMs: number;
  readonly bytesPerSecond: number;
}

/** Faults of a proxy. */
export interface ProxyFaults {
  readonly up: DirectionFault;
  readonly down: DirectionFault;
  /** New connections are closed at once. */
  readonly refusesNew: boolean;
}

/** Faults to change; what is absent stays as it is. */
export interface ProxyFaultChange {
  readonly up?: Partial<DirectionFault>;
  readonly down?: Partial<DirectionFault>;
  readonly refusesNew?: boolean;
}

/** What a proxy has carried. */
export interface ProxyCounts {
  readonly connections: number;
  readonly open: number;
  readonly bytesUp: number;
  readonly bytesDown: number;
}
