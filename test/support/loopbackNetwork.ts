const FIRST_NETWORK = 64;
const NETWORKS = 190;
const OCTET = 256;

/**
 * Gives the first three parts of loopback addresses that no other test process of this machine uses.
 *
 * @returns for example `127.70.12`
 */
export const loopbackNetwork = (): string =>
  `127.${FIRST_NETWORK + (Math.floor(process.pid / OCTET) % NETWORKS)}.${process.pid % OCTET}`;
