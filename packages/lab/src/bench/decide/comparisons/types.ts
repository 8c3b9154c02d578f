import type { SimulatedRequest, SimulatedResult } from '@sardinegrade/dispatch/testing';

/** A request of the common load and its arrival time. */
export interface Arrival {
  readonly atMs: number;
  readonly request: SimulatedRequest;
}

/** A dispatch policy or setting that is run with the common load. */
export interface Variant {
  readonly name: string;
  readonly run: (arrivals: readonly Arrival[]) => readonly SimulatedResult[];
}

/** The figures of a variant. Shares and attainments are fractions from 0 to 1. */
export interface VariantFigures {
  readonly name: string;
  /** Share of the queries that met both latency targets. */
  readonly queryAttainment: number;
  /** Share of the reports that met both latency targets. */
  readonly reportAttainment: number;
  /** Share of all requests with a complete answer. */
  readonly finishedShare: number;
  /** Tokens per second of the answers that completed while requests were still arriving. */
  readonly goodput: number;
  /** Share of the goodput that went to the free class. */
  readonly freeShare: number;
  /** Tokens computed and discarded, as a fraction of the tokens in the goodput. */
  readonly wastedShare: number;
  /** Number of refused requests of the paying classes. */
  readonly payingRefused: number;
}
