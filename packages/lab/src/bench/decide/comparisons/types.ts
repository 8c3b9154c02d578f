import type { ModelRequest, ModelResult } from '@sardinegrade/dispatch/testing';

/** One request of the common load and when it arrives. */
export interface Arrival {
  readonly atMs: number;
  readonly request: ModelRequest;
}

/** One way of deciding, run over the common load. */
export interface Variant {
  readonly name: string;
  readonly run: (arrivals: readonly Arrival[]) => readonly ModelResult[];
}

/** What a variant gave. */
export interface VariantFigures {
  readonly name: string;
  /** Part of the paying queries that met both targets. */
  readonly queryAttainment: number;
  readonly reportAttainment: number;
  /** Requests whose answer was whole, as a part of all. */
  readonly finishedShare: number;
  /** Tokens a second of answers that were whole while the load lasted. */
  readonly goodput: number;
  /** Part of the whole answers' tokens that went to the free class. */
  readonly freeShare: number;
  /** Tokens computed and thrown away, as a part of the goodput. */
  readonly wastedShare: number;
  readonly payingRefused: number;
}
