/**
 * Checks of network addresses that come from outside this process. The platform's store, its
 * settings and other boxes are all checked by these, so that no box accepts what another rejects.
 *
 * @module
 */
import { isIPv4 } from "node:net";

const MAX_PORT = 65_535;

/**
 * Reports whether data is an IPv4 address. Host names are rejected, as no box looks up names.
 *
 * @param data - Parsed data.
 * @returns Whether it is an address in dotted decimal notation.
 */
export function isIpAddress(data: unknown): data is string {
  return typeof data === "string" && isIPv4(data);
}

/**
 * Reports whether data is a port that can be connected to.
 *
 * @param data - Parsed data.
 * @returns Whether it is an integer from 1 to 65,535.
 */
export function isPort(data: unknown): data is number {
  return Number.isInteger(data) && Number(data) > 0 && Number(data) <= MAX_PORT;
}
