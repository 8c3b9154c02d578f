/**
 * Changes the behaviour of a stand-in through its control endpoint.
 *
 * @param address - the stand-in's base address
 * @param behaviour - fields to change, under the names of the control protocol
 * @throws Error if the stand-in responds with an error status
 */
export const sendControl = async (
  address: string,
  behaviour: Readonly<Record<string, unknown>>,
): Promise<void> => {
  const body = JSON.stringify(behaviour);
  const response = await fetch(`${address}/control`, { method: 'POST', body });
  const text = await response.text();
  if (!response.ok)
    throw new Error(`${address}/control responded with status ${response.status}: ${text}`);
};

/**
 * Reads the counters of a stand-in through its control endpoint.
 *
 * @param address - the stand-in's base address
 * @returns the counters by name
 */
export const readCounts = async (address: string): Promise<Readonly<Record<string, unknown>>> => {
  const response = await fetch(`${address}/control`);
  return (await response.json()) as Readonly<Record<string, unknown>>;
};
