/**
 * Helpers for tests that call leafs on this machine.
 *
 * @module
 */
import type { Server } from "node:http";
import { LeafAccess } from "../leaf_access/mod.js";
import type { Leaf } from "../leafs/mod.js";
import { LEAF_HEADERS } from "../platform/mod.js";
import { Quarantine } from "../quarantine/mod.js";
import type { AttemptOutcome } from "../request/mod.js";
import { ANY_REGION } from "../routing/mod.js";
import { type LeafCall, maxAnswerBytes } from "./leaf_call.js";
import { LeafCalls } from "./leaf_calls.js";

export const LOOPBACK = "127.0.0.1";

export function leafAt(port: number): Leaf {
  return {
    leafId: "i-1",
    bornAtEpochMs: 1,
    entryRevision: 1,
    sequence: 1,
    service: "s",
    address: LOOPBACK,
    port,
    dataCentre: "a",
    slots: 2,
    draining: false,
    warmingForMs: 0,
  };
}

export function portOf(server: Pick<Server, "address">): number {
  const bound = server.address();
  return typeof bound === "object" && bound !== null ? bound.port : 0;
}

export function makeQuarantine(): Quarantine {
  const nowMs = (): number => performance.now();
  return new Quarantine({ nowMs, isTrialBox: () => true, onChange: () => undefined });
}

/** Access to all leafs, except for quarantined queries. */
export function unrestrictedAccess(quarantine = makeQuarantine()): LeafAccess {
  return new LeafAccess({
    routes: () => undefined,
    regionOf: (dataCentre) => dataCentre,
    evacuated: () => new Set(),
    coldLeafs: { isCold: () => false, mayCall: () => true, recordCallSent: () => undefined },
    quarantine,
  });
}

export function makeLeafCalls(connections = 2, quarantine = makeQuarantine()): LeafCalls {
  return new LeafCalls({
    access: unrestrictedAccess(quarantine),
    nowMs: () => performance.now(),
    eventLoopIdleMs: () => performance.now(),
    maxConnectionsTo: () => connections,
    quarantine,
    onEnd: () => undefined,
  });
}

/**
 * Replaces the known leafs.
 *
 * @param calls - The calls.
 * @param leafs - The leafs.
 */
export function setLeafs(calls: LeafCalls, leafs: ReadonlyArray<Leaf>): void {
  calls.setLeafs(new Map(leafs.map((leaf) => [leaf.leafId, leaf])));
}

/** Options of a test call. */
export interface CallOptions {
  readonly requestId?: string;
  readonly leftMs?: number;
  readonly repeatable?: boolean;
}

export function leafCall(
  port: number,
  { requestId = "r1", leftMs = 1_000, repeatable = true }: CallOptions = {},
): LeafCall {
  return {
    leaf: leafAt(port),
    requestId,
    method: "GET",
    path: "/x",
    headers: ["Host", "h", LEAF_HEADERS.requestId, requestId],
    body: undefined,
    acceptedRoute: { key: { host: "h", path: "/x" }, allowedRegions: ANY_REGION },
    fingerprint: requestId,
    isTrial: false,
    isFirst: true,
    maxBytes: maxAnswerBytes(1),
    repeatable,
    deadlineAtMs: performance.now() + leftMs,
  };
}

export function sendCall(
  calls: LeafCalls,
  port: number,
  options: CallOptions = {},
): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    calls.send(leafCall(port, options), resolve);
  });
}
