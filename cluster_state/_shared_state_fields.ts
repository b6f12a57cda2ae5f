/**
 * What a box that is ahead must hand over, value by value. A peer of another version, or one whose memory is spoilt, could
 * else hand over a leaf without an address or a route without a host, and each box that takes it over would end by it.
 *
 * Checked by hand, as datagrams are: a start takes over thousands of leafs at once.
 *
 * @module
 */
import { isIPv4 } from "node:net";
import type { Leaf } from "../leafs/mod.js";
import type { Configuration, Route, RouteTarget, ServiceTerms } from "../routing/mod.js";

/** What a peer that is behind takes over. */
export interface SharedState {
  /** Missing where the peer has it already. */
  readonly configuration?: Configuration;
  readonly leafs: ReadonlyArray<Leaf>;
  /** Ids of leafs that are gone; missing where `leafs` holds all there are. */
  readonly removed?: ReadonlyArray<string>;
  /** Leafs whose entry is gone but may come back, and the time they have left, in milliseconds. */
  readonly lapsed: ReadonlyArray<ExpiredLeaf>;
  readonly leafsRevision: number;
}

/** A leaf whose entry is gone but may come back. */
export interface ExpiredLeaf {
  readonly leafId: string;
  readonly leftMs: number;
}

type Check = (value: unknown) => boolean;

/** A check for each field; one that is left out does not compile. */
type Checks<T> = { readonly [Field in keyof Required<T>]: Check };

const MOST_PORT = 65_535;

const isText: Check = (value) => typeof value === "string";
const isNumber: Check = (value) => Number.isFinite(value);
const isFlag: Check = (value) => typeof value === "boolean";
const isAddress: Check = (value) => typeof value === "string" && isIPv4(value);
const isPort: Check = (value) => {
  return Number.isInteger(value) && Number(value) > 0 && Number(value) <= MOST_PORT;
};
const isSlots: Check = (value) => Number.isInteger(value) && Number(value) > 0;

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

const LEAF: Checks<Leaf> = {
  leafId: isText,
  bornAtEpochMs: isNumber,
  entryRevision: isNumber,
  sequence: isNumber,
  service: isText,
  address: isAddress,
  port: isPort,
  dataCentre: isText,
  slots: isSlots,
  draining: isFlag,
  warmingForMs: isNumber,
};

const LAPSED: Checks<ExpiredLeaf> = { leafId: isText, leftMs: isNumber };

const TARGETS: { readonly [Kind in RouteTarget["kind"]]: Check } = {
  single: recordOf<Extract<RouteTarget, { readonly kind: "single" }>>({
    kind: isText,
    services: listOf(recordOf({ service: isText, weight: isNumber })),
  }),
  gather: recordOf<Extract<RouteTarget, { readonly kind: "gather" }>>({
    kind: isText,
    shards: listOf(isText),
    topRecords: isNumber,
    leastShare: isNumber,
  }),
};

const isTarget: Check = (value) => {
  const kind = (value as Partial<RouteTarget> | null | undefined)?.kind;
  return kind !== undefined && Object.hasOwn(TARGETS, kind) && TARGETS[kind](value);
};

const ROUTE: Checks<Route> = {
  name: isText,
  host: isText,
  prefix: isText,
  repeatable: isFlag,
  timeoutMs: isNumber,
  aimMs: isNumber,
  priorityRank: isNumber,
  maxAttempts: isNumber,
  homes: listOf(isText),
  target: isTarget,
};

const SERVICE: Checks<ServiceTerms> = {
  service: isText,
  maxConnections: isNumber,
  healthPath: isText,
  warmupMs: isNumber,
  warmupPerS: isNumber,
};

const CONFIGURATION: Checks<Configuration> = {
  version: isNumber,
  routes: listOf(recordOf(ROUTE)),
  services: listOf(recordOf(SERVICE)),
  callerLimits: recordOf<Configuration["callerLimits"]>({
    maxHeaderBytes: isNumber,
    maxBodyBytes: isNumber,
    headerTimeoutMs: isNumber,
    idleTimeoutMs: isNumber,
  }),
};

const isShared = recordOf<SharedState>({
  configuration: optional(recordOf(CONFIGURATION)),
  leafs: listOf(recordOf(LEAF)),
  removed: optional(listOf(isText)),
  lapsed: listOf(recordOf(LAPSED)),
  leafsRevision: isNumber,
});

/**
 * Tells whether data is what a box that is ahead hands over.
 *
 * @param data - What was read.
 * @returns Whether each value is what it should be; values beyond those known are passed over.
 */
export function isSharedState(data: unknown): data is SharedState {
  return isShared(data);
}
