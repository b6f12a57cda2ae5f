/**
 * Service configuration: backend servers with their leafs, policy programs and limits.
 *
 * @module
 */

/** One leaf of a backend server; the smallest unit that runs a call. */
export interface LeafSpec {
  /** Name of the leaf, unique within the service. */
  readonly leafId: string;
  /** TCP port of the leaf on its backend server's address. */
  readonly port: number;
  /** Maximum number of calls that the leaf runs concurrently. */
  readonly slots: number;
  /** Maximum number of concurrent connections that the leaf accepts. */
  readonly maxConnections: number;
}

/** One backend server (an instance of a service) and its leafs. */
export interface BackendServerSpec {
  /** Name of the backend server, unique within the service. */
  readonly serverId: string;
  /** Box that the server runs on, as named in the box list. */
  readonly box: string;
  /** IP address. */
  readonly address: string;
  /** Data centre that the server is located in. */
  readonly dataCentre: string;
  readonly leafs: ReadonlyArray<LeafSpec>;
}

/** The decisions that policy programs make. */
export type PolicyKind = "place" | "limit" | "retry" | "refuse" | "finish";

/** Policy programs as CEL source text, by decision; the built-in default applies where absent. */
export type PolicySources = { readonly [K in PolicyKind]?: string | undefined };

/** Limits of a service, applied across all boxes. */
export interface ServiceLimits {
  /** Requests per second admitted by all boxes together; 0 means no limit. */
  readonly requestsPerSecond: number;
  /** Burst size: requests that may be admitted at once above the rate. */
  readonly burstRequests: number;
  /** Maximum ratio of extra leaf calls (hedges and retries) to first calls, 0 to 1. */
  readonly extraLoadShare: number;
}

/** The complete configuration of a service. */
export interface ServiceConfig {
  readonly service: string;
  readonly backendServers: ReadonlyArray<BackendServerSpec>;
  readonly policies: PolicySources;
  readonly limits: ServiceLimits;
}

/** One shard of a snapshot and the leafs that serve a replica of it. */
export interface ShardSpec {
  /** Name of the shard, unique within its snapshot. */
  readonly shard: string;
  /** Leafs that serve the shard, in no particular order. */
  readonly leafIds: ReadonlyArray<string>;
}

/** One version of a service's indexes, as a set of shards. */
export interface SnapshotSpec {
  readonly snapshot: string;
  readonly shards: ReadonlyArray<ShardSpec>;
}

/** The snapshots of a service that are being served. */
export interface ShardMap {
  readonly service: string;
  /** Snapshot that new queries read. */
  readonly currentSnapshot: string;
  /** All snapshots that leafs still serve. */
  readonly snapshots: ReadonlyArray<SnapshotSpec>;
}
