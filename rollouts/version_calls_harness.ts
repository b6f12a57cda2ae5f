/**
 * Leafs and ends of calls for the tests of rollouts.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import type { VersionCallEnd } from "./version_access.js";

/**
 * Creates a leaf of service `s`.
 *
 * @param version - Its version.
 * @param leafId - Its id.
 * @returns The leaf.
 */
export function leafOf(version: string | undefined, leafId = `leaf ${version}`): Leaf {
  return {
    leafId,
    version,
    bornAtEpochMs: 1,
    entryRevision: 1,
    sequence: 1,
    service: "s",
    address: "10.0.0.1",
    port: 1,
    dataCentre: "here",
    slots: 2,
    draining: false,
    warmingForMs: 0,
  };
}

/**
 * Creates the end of a call that was answered after 10 ms.
 *
 * @param overrides - What differs.
 * @returns The end of the call.
 */
export function callEnd(overrides: Partial<VersionCallEnd> = {}): VersionCallEnd {
  return {
    leaf: leafOf("v2"),
    route: "r",
    fingerprint: "query",
    result: "answered",
    elapsedMs: 10,
    isCold: false,
    isRemote: false,
    isSuspected: false,
    ...overrides,
  };
}
