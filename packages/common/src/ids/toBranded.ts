import type { Branded } from './types.js';

/**
 * Casts a validated string to a branded type. Has no effect at run time.
 *
 * @param value - the plain string, already validated by the caller
 * @returns the same string with the branded type that the context expects
 */
// The type parameter is used once, in the return type, so that it is inferred from the caller's context.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export const toBranded = <Id extends Branded<string>>(value: string): Id => value as Id;
