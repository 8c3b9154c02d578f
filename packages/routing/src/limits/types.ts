/** Limit header of an answer: how many requests a second a worker accepts from all VMs together. */
export enum LimitHeader {
  /** The answer names no limit. */
  None = 'none',
  Valid = 'valid',
  /** The header is not one decimal number. */
  Invalid = 'invalid',
}

/** The limit that an answer names. */
export type NamedLimit =
  | { readonly header: LimitHeader.None }
  | { readonly header: LimitHeader.Valid; readonly perSecond: number }
  | { readonly header: LimitHeader.Invalid; readonly text: string };

/** What a VM knows about the limit of a worker instance; VMs send it to each other. */
export interface LimitReport {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  /** Requests a second from all VMs together; undefined if the worker no longer names a limit. */
  readonly perSecond: number | undefined;
  /** Time since an answer of the worker showed this, in milliseconds. */
  readonly ageMs: number;
}

/** What a VM knows about the brittleness of a worker instance; VMs send it to each other. */
export interface BrittleReport {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  /** Rejections a second that it survives; undefined if it does not say that it is brittle. */
  readonly perSecond: number | undefined;
  /** Time since an answer of the worker showed this, in milliseconds. */
  readonly ageMs: number;
  /** Steps of slots that were left unused after its last rejection. */
  readonly withheld: number;
  /** Time since it last rejected a request, in milliseconds; undefined if it has not. */
  readonly rejectionAgeMs: number | undefined;
}
