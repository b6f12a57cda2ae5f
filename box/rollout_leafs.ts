/**
 * Summarises the leafs of a service for the coordination of a rollout.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import type { Rollout } from "../model/mod.js";
import type { RolloutLeafs } from "../rollouts/mod.js";
import type { Route } from "../routing/mod.js";

/** What the summary depends on. */
export interface RolloutLeafsOptions {
  /** Listed leafs of the service. */
  readonly leafs: ReadonlyArray<Leaf>;
  readonly routes: ReadonlyArray<Route>;
  readonly regionOf: (dataCentre: string) => string;
  /** Returns whether a leaf that is not draining may be called. */
  readonly isUsable: (leaf: Leaf) => boolean;
}

/**
 * Summarises the leafs of a service as they concern an order.
 *
 * @param order - The order.
 * @param options - Leafs and routes of its service.
 * @returns The summary. The target cannot serve alone while it has no usable leaf, nor while a
 *   route that is restricted to regions has usable leafs there, but none of the target.
 */
export function rolloutLeafs(
  {
    retiredVersions,
    service,
    targetVersion,
  }: Pick<Rollout, "service" | "targetVersion" | "retiredVersions">,
  { isUsable, leafs, regionOf, routes }: RolloutLeafsOptions,
): RolloutLeafs {
  const targets = leafs.filter(({ version }) => version === targetVersion);
  const others = leafs.filter(({ version }) => {
    return version !== targetVersion && !retiredVersions.includes(version ?? "");
  });
  const usable = (each: Leaf): boolean => !each.draining && isUsable(each);
  const regionsOf = (each: ReadonlyArray<Leaf>): ReadonlySet<string> => {
    return new Set(each.filter(usable).map(({ dataCentre }) => regionOf(dataCentre)));
  };
  const targetRegions = regionsOf(targets);
  const otherRegions = regionsOf(others);
  const losesLeafs = routes.some(({ homes, target }) => {
    const isServedBy = (regions: ReadonlySet<string>) => homes.some((home) => regions.has(home));
    const isRestricted = homes.length > 0 && callsService(target, service);
    return isRestricted && isServedBy(otherRegions) && !isServedBy(targetRegions);
  });
  return {
    targetCount: targets.length,
    canServeAlone: targetRegions.size > 0 && !losesLeafs,
    baselineVersions: [...new Set(others.flatMap(({ version }) => version ?? []))],
  };
}

function callsService(target: Route["target"], service: string): boolean {
  return target.kind === "gather"
    ? target.shards.includes(service)
    : target.services.some((each) => each.service === service);
}
