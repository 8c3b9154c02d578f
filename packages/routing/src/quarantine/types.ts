import type { PartId } from '../placement/index.js';

/** A worker instance that ended while a request with a prompt part waited for the first event of its answer. */
export interface PartCrash {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  /** Time since the instance ended, in milliseconds. */
  readonly ageMs: number;
  /** Whether an answer on the part has begun since the crash was known. */
  readonly isCleared: boolean;
}

/** What a VM knows about a prompt part that may crash workers; VMs send it to each other. */
export interface PartEvidence {
  readonly part: PartId;
  /** Largest index of the part in a prompt; parts at a larger index are in fewer requests. */
  readonly depth: number;
  /** Whether an answer on the part had begun shortly before the first crash was known. */
  readonly wasAnswered: boolean;
  readonly crashes: readonly PartCrash[];
}

/** A prompt part whose requests are refused. */
export interface RefusedPart {
  readonly part: PartId;
  /** Number of crashes that are attributed to the part. */
  readonly crashes: number;
  /** From this time on one VM sends a request with the part as a trial, in milliseconds of the VM's clock. */
  readonly trialAtMs: number;
  /** From this time on every VM may send such a trial, in milliseconds of the VM's clock. */
  readonly openTrialAtMs: number;
}
