/**
 * Validation of the state that a box sends to a peer. A leaf without an address or a route without
 * a host would otherwise crash each box that merges it.
 *
 * The checks are written by hand, as a box merges thousands of leafs when it starts.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import { isIpAddress, isPort } from "../model/mod.js";
import type { Configuration, Route, RouteTarget, ServiceTerms } from "../routing/mod.js";

/** State that a box sends to a peer whose own is older. */
export interface SharedState {
  /** Omitted unless it is newer than the peer's. */
  readonly configuration?: Configuration;
  readonly leafs: ReadonlyArray<Leaf>;
  /** Ids of removed leafs; omitted if `leafs` is the complete list. */
  readonly removed?: ReadonlyArray<string>;
  /** Leafs whose entry has expired but may reappear. */
  readonly lapsed: ReadonlyArray<ExpiredLeaf>;
  readonly leafsRevision: number;
}

/** State as a peer has sent it: each of its leafs is yet to be checked. */
export interface ReceivedState extends Omit<SharedState, "leafs"> {
  readonly leafs: ReadonlyArray<unknown>;
}

/** A leaf whose entry has expired but may reappear. */
export interface ExpiredLeaf {
  readonly leafId: string;
  /** Time until the leaf is dropped, in milliseconds. */
  readonly leftMs: number;
}

type Check = (value: unknown) => boolean;

/** A check for each field of a type. */
type Checks<T> = { readonly [Field in keyof Required<T>]: Check };

const isString: Check = (value) => typeof value === "string";
const isNumber: Check = (value) => Number.isFinite(value);
const isBoolean: Check = (value) => typeof value === "boolean";
const isSlotCount: Check = (value) => Number.isInteger(value) && Number(value) > 0;

function listOf(check: Check): Check {
  return (value) => Array.isArray(value) && value.every(check);
}

function optional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

function recordOf<T>(checks: Checks<T>): Check {
  const entries = Object.entries(checks) as ReadonlyArray<readonly [string, Check]>;
  return (value) => {
    const fields = value as Readonly<Record<string, unknown>> | null;
    return (
      typeof value === "object" &&
      fields !== null &&
      entries.every(([field, check]) => check(fields[field]))
    );
  };
}

const LEAF_CHECKS: Checks<Leaf> = {
  leafId: isString,
  bornAtEpochMs: isNumber,
  entryRevision: isNumber,
  sequence: isNumber,
  service: isString,
  version: optional(isString),
  address: isIpAddress,
  port: isPort,
  dataCentre: isString,
  slots: isSlotCount,
  draining: isBoolean,
  warmingForMs: isNumber,
};

const EXPIRED_LEAF_CHECKS: Checks<ExpiredLeaf> = { leafId: isString, leftMs: isNumber };

const TARGET_CHECKS: { readonly [Kind in RouteTarget["kind"]]: Check } = {
  single: recordOf<Extract<RouteTarget, { readonly kind: "single" }>>({
    kind: isString,
    services: listOf(recordOf({ service: isString, weight: isNumber })),
  }),
  gather: recordOf<Extract<RouteTarget, { readonly kind: "gather" }>>({
    kind: isString,
    shards: listOf(isString),
    topRecords: isNumber,
    leastShare: isNumber,
  }),
};

const isTarget: Check = (value) => {
  const kind = (value as Partial<RouteTarget> | null | undefined)?.kind;
  return kind !== undefined && Object.hasOwn(TARGET_CHECKS, kind) && TARGET_CHECKS[kind](value);
};

const ROUTE_CHECKS: Checks<Route> = {
  name: isString,
  host: isString,
  prefix: isString,
  repeatable: isBoolean,
  timeoutMs: isNumber,
  aimMs: isNumber,
  priorityRank: isNumber,
  maxAttempts: isNumber,
  homes: listOf(isString),
  target: isTarget,
};

const SERVICE_CHECKS: Checks<ServiceTerms> = {
  service: isString,
  maxConnections: isNumber,
  healthPath: isString,
  warmupMs: isNumber,
  warmupPerS: isNumber,
};

const CONFIGURATION_CHECKS: Checks<Configuration> = {
  version: isNumber,
  routes: listOf(recordOf(ROUTE_CHECKS)),
  services: listOf(recordOf(SERVICE_CHECKS)),
  callerLimits: recordOf<Configuration["callerLimits"]>({
    maxHeaderBytes: isNumber,
    maxBodyBytes: isNumber,
    headerTimeoutMs: isNumber,
    idleTimeoutMs: isNumber,
  }),
};

const matchesLeaf = recordOf(LEAF_CHECKS);

const matchesReceivedState = recordOf<ReceivedState>({
  configuration: optional(recordOf(CONFIGURATION_CHECKS)),
  leafs: Array.isArray,
  removed: optional(listOf(isString)),
  lapsed: listOf(recordOf(EXPIRED_LEAF_CHECKS)),
  leafsRevision: isNumber,
});

/**
 * Reports whether data is valid shared state, apart from its leafs.
 *
 * @param data - Parsed data.
 * @returns Whether each value is valid; unknown fields are ignored.
 */
export function isReceivedState(data: unknown): data is ReceivedState {
  return matchesReceivedState(data);
}

/**
 * Reports whether data is a valid leaf.
 *
 * @param data - Parsed data.
 * @returns Whether each value is valid; unknown fields are ignored.
 */
export function isLeaf(data: unknown): data is Leaf {
  return matchesLeaf(data);
}
