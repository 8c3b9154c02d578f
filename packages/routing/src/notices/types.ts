/** A header by which a worker states something about itself. */
export enum NoticeHeader {
  /** The answer does not have the header. */
  None = 'none',
  Valid = 'valid',
  /** The header is repeated, or its value is not allowed. */
  Invalid = 'invalid',
}

/** What an answer states in one of these headers. */
export type Notice<Value> =
  | { readonly header: NoticeHeader.None }
  | { readonly header: NoticeHeader.Valid; readonly value: Value }
  | { readonly header: NoticeHeader.Invalid; readonly text: string };
