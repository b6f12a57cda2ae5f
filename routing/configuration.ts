/**
 * Routes and services as a box uses them: which requests go to which services, and under which
 * terms.
 *
 * @module
 */

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share of the requests, relative to the other weights of the route. */
  readonly weight: number;
}

/** A route whose requests go to a single leaf each, whose answer is passed on unchanged. */
export interface SingleTarget {
  readonly kind: "single";
  /** At least one. A route without traffic splitting has one service of weight 1. */
  readonly services: ReadonlyArray<WeightedService>;
}

/** A route whose requests go to one leaf of each shard, with merged answers. */
export interface GatherTarget {
  readonly kind: "gather";
  /** Services that are the shards. */
  readonly shards: ReadonlyArray<string>;
  /** Maximum number of records in the merged answer. */
  readonly topRecords: number;
  /** Minimum share of the shards for a success, 0 to 1. */
  readonly leastShare: number;
}

/** Where a route's requests go. */
export type RouteTarget = SingleTarget | GatherTarget;

/** Requests of one host under one path prefix, and their terms. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether running a request twice is harmless. */
  readonly repeatable: boolean;
  /** Maximum time to answer a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: the time within which an answer is worth most, in milliseconds. */
  readonly aimMs: number;
  /** Priority; 0 is the most urgent. */
  readonly priorityRank: number;
  /** Maximum number of attempts for each shard of a request. */
  readonly maxAttempts: number;
  /**
   * Allowed regions: its requests are neither served nor stored in others. Empty for no
   * restriction.
   */
  readonly homes: ReadonlyArray<string>;
  readonly target: RouteTarget;
}

/** Terms of the leafs of one service. */
export interface ServiceTerms {
  readonly service: string;
  /** Maximum number of connections to a leaf from all boxes together. */
  readonly maxConnections: number;
  readonly healthPath: string;
  /** Time for which a leaf stays cold after its start, in milliseconds. */
  readonly warmupMs: number;
  /** Calls a second that a cold leaf can bear; 0 for no limit. */
  readonly warmupPerS: number;
}

/** Limits on what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Timeout for the headers of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Timeout of an idle connection, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface Configuration {
  /** Increases with each change, not always by one. */
  readonly version: number;
  readonly routes: ReadonlyArray<Route>;
  readonly services: ReadonlyArray<ServiceTerms>;
  readonly callerLimits: CallerLimits;
}
