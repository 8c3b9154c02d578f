/**
 * Sets the behaviour of a stand-in through its control port.
 *
 * @param address - its base address
 * @param behaviour - what to change
 * @throws Error where the stand-in refuses it
 */
export const sendControl = async (
  address: string,
  behaviour: Readonly<Record<string, unknown>>,
): Promise<void> => {
  const body = JSON.stringify(behaviour);
  const response = await fetch(`${address}/control`, { method: 'POST', body });
  const text = await response.text();
  if (!response.ok) throw new Error(`${address}/control answered ${response.status}: ${text}`);
};

/**
 * Reads the counts of a stand-in.
 *
 * @param address - its base address
 * @returns its counts, by name
 */
export const readControl = async (address: string): Promise<Readonly<Record<string, unknown>>> => {
  const response = await fetch(`${address}/control`);
  return (await response.json()) as Readonly<Record<string, unknown>>;
};
