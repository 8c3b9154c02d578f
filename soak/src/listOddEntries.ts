/** An entry among those of the workers that no worker has written. */
export interface OddEntry {
  /** What is odd about it. */
  readonly kind: string;
  readonly entry: object;
}

const NESTED_LEVELS = 1_000;

const buildNested = (): object => {
  let nested: object = {};
  for (let level = 0; level < NESTED_LEVELS; level += 1) nested = { nested };
  return nested;
};

/**
 * Lists odd entries.
 *
 * @param service - the service that they name
 * @returns one entry of each kind
 */
export const listOddEntries = (service: string): readonly OddEntry[] => {
  const entry = {
    service,
    // Nothing listens on this port of the machine.
    address: '127.0.0.1:9',
    zone: 'dc-a',
    version: 'v1',
    slots: 32,
    state: 'ready',
    cold_left_ms: 0,
    seq: 1,
    born: 1,
  };
  return [
    { kind: 'port 99999', entry: { ...entry, address: '127.0.0.1:99999' } },
    { kind: 'address 999.1.1.1', entry: { ...entry, address: '999.1.1.1:80' } },
    { kind: 'deep nesting', entry: { ...entry, zone: buildNested() } },
    { kind: 'numbers too large', entry: { ...entry, slots: 1e308, seq: 1e308, born: 1e300 } },
    { kind: 'missing fields', entry: { service, state: 'ready' } },
  ];
};
