/**
 * Maximum size of the body of an answer of the platform or of another VM, in bytes. It is held as a whole, and the memory of
 * a VM is small; a page of the store has about 1 MB.
 */
export const MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;
