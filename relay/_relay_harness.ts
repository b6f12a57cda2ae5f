/**
 * Helpers for tests of relays: calls that are recorded instead of sent, and a response without a
 * connection.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { LeafCall, LeafCalls } from "../calls/mod.js";
import { INITIAL_LEAF_HEALTH, type Leaf } from "../leafs/mod.js";
import type { RelayOptions } from "./_relay.js";

/** A response that accepts everything. */
export const RESPONSE = { write: () => true, end: () => undefined } as unknown as ServerResponse;

/** A box whose calls are recorded. */
export interface RelayHarness {
  readonly options: RelayOptions;
  /** The calls that the box would have sent. */
  readonly sent: ReadonlyArray<LeafCall>;
}

/**
 * Creates a box with leafs of one service, `s`, in its data centre.
 *
 * @param leafs - The leafs.
 * @param access - Which leafs may be called; all by default.
 * @returns The options of its relays, and the calls that they send.
 */
export function makeRelayHarness(
  leafs: ReadonlyArray<Leaf>,
  access: Partial<RelayOptions["access"]> = {},
): RelayHarness {
  const sent: Array<LeafCall> = [];
  const calls = {
    health: () => INITIAL_LEAF_HEALTH,
    send: (call: LeafCall) => {
      sent.push(call);
      return { abandon: () => undefined, withdraw: () => undefined };
    },
  } as unknown as LeafCalls;
  const options: RelayOptions = {
    ...{ nowMs: () => 0, eventLoopIdleMs: () => 0, calls, onParts: () => undefined },
    leafs: () => ({
      byId: new Map(leafs.map((leaf) => [leaf.leafId, leaf])),
      byService: new Map([["s", leafs]]),
      expiresAtMs: new Map(),
    }),
    distance: () => "zone",
    access: { blockReasonForLeaf: () => undefined, isCold: () => false, ...access },
  };
  return { options, sent };
}
