/**
 * What a request was accepted under. It goes with the request to every call and to the boxes that
 * relay it, as the configuration can change while the request runs.
 *
 * @module
 */
import { type AllowedRegions, allowedRegionsOf, intersectRegions } from "./allowed_regions.js";
import type { Route } from "./configuration.js";
import { findRoute, type RouteKey, type RouteTable } from "./route_table.js";

/** What a request was accepted under. */
export interface AcceptedRoute {
  /** Host and path of the request. */
  readonly key: RouteKey;
  /** Regions that its route allowed when it was accepted. */
  readonly allowedRegions: AllowedRegions;
}

/**
 * Accepts a request under a route.
 *
 * @param key - Host and path of the request.
 * @param route - Its route in the current configuration.
 * @returns What the request is accepted under.
 */
export function acceptRoute(key: RouteKey, { homes }: Pick<Route, "homes">): AcceptedRoute {
  return { key, allowedRegions: allowedRegionsOf(homes) };
}

/** The current route of a running request, and where the request may go. */
export interface CurrentRoute {
  /** Name of the route; empty if the configuration has none for the request. */
  readonly name: string;
  /** Never more than what the request was accepted under. */
  readonly allowedRegions: AllowedRegions;
}

/**
 * Returns the current route of a running request. Later configurations can only take away allowed
 * regions; one without a route for the request leaves those that it was accepted under.
 *
 * @param accepted - What the request was accepted under.
 * @param routes - The current routes, or `undefined` if there is no configuration yet.
 * @returns The route's name and the regions that are still allowed.
 */
export function currentRoute(
  { key, allowedRegions }: AcceptedRoute,
  routes: RouteTable | undefined,
): CurrentRoute {
  const route = routes === undefined ? undefined : findRoute(routes, key);
  if (route === undefined) {
    return { name: "", allowedRegions };
  }
  const { homes, name } = route;
  return { name, allowedRegions: intersectRegions(allowedRegions, allowedRegionsOf(homes)) };
}
