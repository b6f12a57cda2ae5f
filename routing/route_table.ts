/**
 * Finds the route of a request.
 *
 * @module
 */

import { type QueuedRoute, queueAllowancesMs } from "../admission/mod.js";
import type { Configuration, Route, ServiceTerms } from "./configuration.js";

/** A configuration arranged for look-ups. */
export interface RouteTable {
  readonly configuration: Configuration;
  /** Routes of each host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, ReadonlyArray<Route>>;
  readonly termsByService: ReadonlyMap<string, ServiceTerms>;
  /** Longest time that calls may be expected to wait at leafs, in milliseconds, by the route's name. */
  readonly queueAllowancesMs: ReadonlyMap<string, number>;
}

/**
 * Arranges a configuration for look-ups.
 *
 * @param configuration - What operators configured.
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
  };
}

/** A route that gathers; requests to a single leaf are not refused for queues. */
function queuedRoute({ name, aimMs, priorityRank, target }: Route): ReadonlyArray<QueuedRoute> {
  return target.kind === "gather" ? [{ name, aimMs, priorityRank, shards: target.shards }] : [];
}

/**
 * Lists the regions in which requests to a host may be served.
 *
 * @param table - The configuration in force.
 * @param host - The host.
 * @returns Regions that are a home of each of its routes; empty where a route is served anywhere.
 */
export function allowedRegionsOfHost(table: RouteTable, host: string): ReadonlyArray<string> {
  const [first, ...others] = table.routesByHost.get(host.toLowerCase()) ?? [];
  const homes = first?.homes ?? [];
  return homes.filter((home) => others.every((route) => route.homes.includes(home)));
}

/** What of a request decides its route. */
export interface RouteKey {
  /** Host as the caller named it, with or without a port. */
  readonly host: string;
  /** Path, with or without a query. */
  readonly path: string;
}

/**
 * Finds the route with the longest prefix among those of the host.
 *
 * @param table - The configuration in force.
 * @param key - Host and path of the request.
 * @returns The route, or nothing where the configuration has none.
 */
export function findRoute(table: RouteTable, { host, path }: RouteKey): Route | undefined {
  const name = host.replace(/:\d+$/, "").toLowerCase();
  return table.routesByHost.get(name)?.find((route) => path.startsWith(route.prefix));
}
