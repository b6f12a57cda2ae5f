/**
 * Routes and services as a box uses them: which requests go to which services, and under what terms.
 *
 * @module
 */

/** One service among which a route's requests are shared. */
export interface WeightedService {
  readonly service: string;
  /** Share of the requests, relative to the other weights of the route. */
  readonly weight: number;
}

/** A route whose requests each go to one leaf, whose answer is passed on whole. */
export interface SingleTarget {
  readonly kind: "single";
  /** At least one; a plain route has one service of weight 1. */
  readonly services: ReadonlyArray<WeightedService>;
}

/** A route whose requests go to one leaf of each shard and are merged. */
export interface GatherTarget {
  readonly kind: "gather";
  /** Services that are the shards. */
  readonly shards: ReadonlyArray<string>;
  /** Most records in the merged answer. */
  readonly topRecords: number;
  /** Share of the shards, 0 to 1, without which there is no success. */
  readonly leastShare: number;
}

/** Where a route's requests go. */
export type RouteTarget = SingleTarget | GatherTarget;

/** Requests of one host under one path prefix, and the terms that hold for them. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether running a request twice is harmless. */
  readonly repeatable: boolean;
  /** Longest time that a request is held, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, in milliseconds. */
  readonly aimMs: number;
  /** Urgency; 0 is the most urgent. */
  readonly priorityRank: number;
  /** Most leafs that one request is sent to, for each shard. */
  readonly maxAttempts: number;
  /** Regions outside which its requests are neither served nor kept; empty for anywhere. */
  readonly homes: ReadonlyArray<string>;
  readonly target: RouteTarget;
}

/** What holds for the leafs of one service. */
export interface ServiceTerms {
  readonly service: string;
  /** Connections that a leaf takes from all boxes together. */
  readonly maxConnections: number;
  readonly healthPath: string;
  /** Time for which a leaf stays cold after a start, in milliseconds. */
  readonly warmupMs: number;
  /** Calls a second that a cold leaf bears; 0 where nothing is said. */
  readonly warmupPerS: number;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time for the headers of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time that a connection may rest, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Everything that operators configure, as of one version. */
export interface Configuration {
  /** Rises with each change, not always by one. */
  readonly version: number;
  readonly routes: ReadonlyArray<Route>;
  readonly services: ReadonlyArray<ServiceTerms>;
  readonly callerLimits: CallerLimits;
}
