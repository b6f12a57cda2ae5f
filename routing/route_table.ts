/**
 * Finds the route of a request.
 *
 * @module
 */

import { type QueuedRoute, queueAllowancesMs } from "../admission/mod.js";
import type { Configuration, Route, ServiceTerms } from "./configuration.js";

/** A configuration indexed for lookups. */
export interface RouteTable {
  readonly configuration: Configuration;
  /** Routes of each host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, ReadonlyArray<Route>>;
  readonly termsByService: ReadonlyMap<string, ServiceTerms>;
  /** Maximum expected queueing delay at leafs, in milliseconds, by the route's name. */
  readonly queueAllowancesMs: ReadonlyMap<string, number>;
  /** Smallest latency objective of all routes, in milliseconds; infinity without routes. */
  readonly tightestObjectiveMs: number;
}

/**
 * Indexes a configuration for lookups.
 *
 * @param configuration - The configuration.
 * @returns The table.
 */
export function buildRouteTable(configuration: Configuration): RouteTable {
  const routesByHost = new Map<string, Array<Route>>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    routesByHost.set(host, [...(routesByHost.get(host) ?? []), route]);
  }
  for (const routes of routesByHost.values()) {
    routes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  const termsByService = new Map(configuration.services.map((terms) => [terms.service, terms]));
  return {
    configuration,
    routesByHost,
    termsByService,
    queueAllowancesMs: queueAllowancesMs(configuration.routes.flatMap(queuedRoute)),
    tightestObjectiveMs: configuration.routes.reduce(
      (smallestMs, { aimMs }) => Math.min(smallestMs, aimMs),
      Number.POSITIVE_INFINITY,
    ),
  };
}

/** Returns the route if it gathers. Requests to a single leaf are not refused for queues. */
function queuedRoute({ name, aimMs, priorityRank, target }: Route): ReadonlyArray<QueuedRoute> {
  return target.kind === "gather" ? [{ name, aimMs, priorityRank, shards: target.shards }] : [];
}

/**
 * Lists the regions in which requests to a host may be served.
 *
 * @param table - The current configuration.
 * @param host - The host.
 * @returns The allowed regions that all routes of the host share; empty if a route is unrestricted
 *   or if they share none.
 */
export function allowedRegionsOfHost(table: RouteTable, host: string): ReadonlyArray<string> {
  const [first, ...others] = table.routesByHost.get(host.toLowerCase()) ?? [];
  const homes = first?.homes ?? [];
  return homes.filter((region) => others.every((route) => route.homes.includes(region)));
}

/** Properties of a request that determine its route. */
export interface RouteKey {
  /** Host as sent by the caller, with or without a port. */
  readonly host: string;
  /** Path, with or without a query string. */
  readonly path: string;
}

/**
 * Finds the route with the longest prefix among those of the host.
 *
 * @param table - The current configuration.
 * @param key - Host and path of the request.
 * @returns The route, or `undefined` if none matches.
 */
export function findRoute(table: RouteTable, { host, path }: RouteKey): Route | undefined {
  const name = host.replace(/:\d+$/, "").toLowerCase();
  return table.routesByHost.get(name)?.find((route) => path.startsWith(route.prefix));
}
