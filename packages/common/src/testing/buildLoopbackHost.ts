/** Second octets of the loopback addresses of test runs. */
const FIRST_NETWORK = 2;
const NETWORKS = 250;

/**
 * Builds the address of a VM that tests start on loopback. Processes that run at the same time mostly get different
 * networks, so two checkouts can run their tests side by side.
 *
 * @param subnet - number of the fleet, 0 to 255, which no other test uses
 * @param index - number of the VM in the fleet, 0 to 253
 * @returns an IPv4 address
 */
export const buildLoopbackHost = (subnet: number, index: number): string =>
  `127.${FIRST_NETWORK + (process.pid % NETWORKS)}.${subnet}.${index + 1}`;
