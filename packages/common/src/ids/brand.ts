import type { Branded } from './types.js';

/**
 * Gives a checked string its branded type; it changes nothing at run time.
 *
 * @param value - the plain string, already validated by the caller
 * @returns the same string under the branded type that the context asks for
 */
// The result's type is the point of the parameter: it comes from the caller's context.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export const toBranded = <Id extends Branded<string>>(value: string): Id => value as Id;
