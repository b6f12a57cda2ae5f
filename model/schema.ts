/**
 * Validates external data against the model.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { BoxList, CatalogObject } from "./catalog_object.js";
import { MAX_DEADLINE_MS, MAX_SHARDS } from "./limits.js";
import type { QueryRequest } from "./query.js";
import type { ServiceConfig, ShardMap } from "./service.js";

/** A validation error. */
export interface SchemaError {
  readonly kind: "schema";
  /** Dotted path of the invalid field; empty if the error concerns the entire value. */
  readonly field: string;
  /** Human-readable description of the error. */
  readonly message: string;
}

const NAME = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,99}$/,
    "expected 1 to 100 letters, digits or any of _ . : / -",
  );
const SERVICE_NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "expected 1 to 63 lower-case letters, digits or hyphens");
const PORT = z.int().min(1).max(65_535);
const ADDRESS = z.union([z.ipv4(), z.ipv6()]);
const POLICY = z.string().max(2_000).optional();

const LEAF = z.strictObject({
  leafId: NAME,
  port: PORT,
  slots: z.int().min(1).max(1_000),
  maxConnections: z.int().min(2).max(10_000),
});

const BACKEND_SERVER = z.strictObject({
  serverId: NAME,
  box: NAME,
  address: ADDRESS,
  dataCentre: NAME,
  leafs: z.array(LEAF).min(1).max(64),
});

const SERVICE_CONFIG = z
  .strictObject({
    service: SERVICE_NAME,
    backendServers: z.array(BACKEND_SERVER).min(1).max(5_000),
    policies: z
      .strictObject({ place: POLICY, limit: POLICY, retry: POLICY, refuse: POLICY, finish: POLICY })
      .default({}),
    limits: z
      .strictObject({
        requestsPerSecond: z.number().min(0).max(10_000_000).default(0),
        burstRequests: z.number().min(1).max(10_000_000).default(100),
        extraLoadShare: z.number().min(0).max(1).default(0.1),
      })
      .default({ requestsPerSecond: 0, burstRequests: 100, extraLoadShare: 0.1 }),
  })
  .check((context) => {
    const leafIds = context.value.backendServers.flatMap((server) =>
      server.leafs.map((leaf) => leaf.leafId),
    );
    const duplicate = firstDuplicate(leafIds);
    if (duplicate !== undefined) {
      context.issues.push({
        code: "custom",
        path: ["backendServers"],
        message: `leaf "${duplicate}" is listed more than once`,
        input: duplicate,
      });
    }
  });

const SNAPSHOT = z
  .strictObject({
    snapshot: NAME,
    shards: z
      .array(z.strictObject({ shard: NAME, leafIds: z.array(NAME).min(1).max(16) }))
      .min(1)
      .max(MAX_SHARDS),
  })
  .check((context) => {
    const duplicate = firstDuplicate(context.value.shards.map((each) => each.shard));
    if (duplicate !== undefined) {
      context.issues.push({
        code: "custom",
        path: ["shards"],
        message: `shard "${duplicate}" is listed more than once`,
        input: duplicate,
      });
    }
  });

const SHARD_MAP = z
  .strictObject({
    service: SERVICE_NAME,
    currentSnapshot: NAME,
    snapshots: z.array(SNAPSHOT).min(1).max(8),
  })
  .check((context) => {
    const { currentSnapshot, snapshots } = context.value;
    if (!snapshots.some((each) => each.snapshot === currentSnapshot)) {
      context.issues.push({
        code: "custom",
        path: ["currentSnapshot"],
        message: `snapshot "${currentSnapshot}" is not among the snapshots`,
        input: currentSnapshot,
      });
    }
  });

const QUERY_REQUEST = z
  .strictObject({
    service: SERVICE_NAME,
    caller: NAME,
    rights: NAME.optional(),
    deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS),
    priority: z.enum(["urgent", "high", "normal", "low"]).default("normal"),
    wantedCoverage: z.number().min(0).max(1).default(1),
    repeatable: z.boolean().default(true),
    ticket: z.string().min(1).max(200).optional(),
    sequence: z.int().min(1).optional(),
    merge: z
      .strictObject({
        orderBy: z.string().min(1).max(100).optional(),
        descending: z.boolean().optional(),
        limitRows: z.int().min(1).max(100_000).optional(),
      })
      .default({}),
    body: z.unknown().optional(),
  })
  .check((context) => {
    const { repeatable, ticket, sequence } = context.value;
    if (!repeatable && (ticket === undefined || sequence === undefined)) {
      context.issues.push({
        code: "custom",
        path: [ticket === undefined ? "ticket" : "sequence"],
        message: "a query that is not repeatable needs a ticket and a sequence",
        input: ticket,
      });
    }
  });

const CATALOG_OBJECT = z.strictObject({
  kind: z.enum(["service", "shardmap", "boxlist"]),
  name: SERVICE_NAME,
  revision: z.int().min(1),
  deleted: z.boolean(),
  history: z
    .array(
      z.strictObject({
        revision: z.int().min(1),
        submissionId: z.string().max(100),
        author: z.string().max(100),
        submittedAtEpochMs: z.number(),
      }),
    )
    .max(100),
  value: z.unknown().optional(),
});

const BOX_LIST = z.object({
  version: z.int().min(1),
  boxes: z
    .array(
      z.object({
        box: NAME,
        address: ADDRESS,
        dataCentre: NAME,
        leaving: z.boolean(),
        entryPeerPort: z.int().min(0).max(65_535).default(0),
        poolPeerPort: z.int().min(0).max(65_535).default(0),
      }),
    )
    .max(20_000),
});

/**
 * Parses and validates a service configuration.
 *
 * @param data - Data from an operator or the platform.
 * @returns The configuration, or the first error found.
 */
export function parseServiceConfig(data: unknown): Result<ServiceConfig, SchemaError> {
  return parseWith(SERVICE_CONFIG, data);
}

/**
 * Parses and validates a shard map.
 *
 * @param data - Data from an operator or the platform.
 * @returns The shard map, or the first error found.
 */
export function parseShardMap(data: unknown): Result<ShardMap, SchemaError> {
  return parseWith(SHARD_MAP, data);
}

/**
 * Parses and validates a caller's query. The authorization scope (`rights`) defaults to the
 * caller's name, so that sub-requests are not shared between callers unless requested.
 *
 * @param data - Data from the caller.
 * @returns The query, or the first error found.
 */
export function parseQueryRequest(data: unknown): Result<QueryRequest, SchemaError> {
  return parseWith(QUERY_REQUEST, data).map((request) => ({
    ...request,
    rights: request.rights ?? request.caller,
    body: request.body ?? null,
  }));
}

/**
 * Parses and validates a catalog object from the platform or a peer, including its value.
 *
 * @param data - The object as received.
 * @returns The object, or the first error found.
 */
export function parseCatalogObject(data: unknown): Result<CatalogObject, SchemaError> {
  return parseWith(CATALOG_OBJECT, data).andThen((object) => {
    if (object.deleted) {
      return ok({ ...object, value: null });
    }
    return VALUE_PARSERS[object.kind](object.value).map((value) => ({ ...object, value }));
  });
}

/**
 * Parses and validates the platform's box list.
 *
 * @param data - The list as received.
 * @returns The list, or the first error found.
 */
export function parseBoxList(data: unknown): Result<BoxList, SchemaError> {
  return parseWith(BOX_LIST, data);
}

const VALUE_PARSERS: Readonly<
  Record<CatalogObject["kind"], (data: unknown) => Result<unknown, SchemaError>>
> = {
  service: parseServiceConfig,
  shardmap: parseShardMap,
  boxlist: parseBoxList,
};

function parseWith<T>(schema: z.ZodType<T>, data: unknown): Result<T, SchemaError> {
  const parsed = schema.safeParse(data);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const issue = parsed.error.issues[0];
  const field = issue?.path.map(String).join(".") ?? "";
  const where = field === "" ? "data" : `field "${field}"`;
  const why = issue?.message ?? "not valid";
  return err({ kind: "schema", field, message: `Cannot accept ${where}: ${why}` });
}

function firstDuplicate(names: ReadonlyArray<string>): string | undefined {
  const seen = new Set<string>();
  return names.find((name) => seen.size === seen.add(name).size);
}
