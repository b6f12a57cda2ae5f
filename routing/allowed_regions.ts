/**
 * The regions in which a request may be served.
 *
 * @module
 */

/** Regions in which a request may be served. An empty list allows none. */
export type AllowedRegions =
  | { readonly kind: "any" }
  | { readonly kind: "only"; readonly regions: ReadonlyArray<string> };

/** No restriction. */
export const ANY_REGION: AllowedRegions = { kind: "any" };

const IS_ALLOWED: {
  readonly [K in AllowedRegions["kind"]]: (
    allowed: Extract<AllowedRegions, { readonly kind: K }>,
    region: string,
  ) => boolean;
} = {
  any: () => true,
  only: ({ regions }, region) => regions.includes(region),
};

/**
 * Returns the regions that a route allows.
 *
 * @param homes - The route's regions; empty for no restriction.
 * @returns The allowed regions.
 */
export function allowedRegionsOf(homes: ReadonlyArray<string>): AllowedRegions {
  return homes.length === 0 ? ANY_REGION : { kind: "only", regions: homes };
}

/**
 * Returns whether a request may be served in a region.
 *
 * @param allowed - The allowed regions.
 * @param region - The region.
 * @returns Whether it is one of them.
 */
export function isAllowedIn(allowed: AllowedRegions, region: string): boolean {
  return (IS_ALLOWED[allowed.kind] as (allowed: AllowedRegions, region: string) => boolean)(
    allowed,
    region,
  );
}

/**
 * Returns the regions that two restrictions both allow.
 *
 * @param first - A restriction.
 * @param second - Another one.
 * @returns The regions that both allow.
 */
export function intersectRegions(first: AllowedRegions, second: AllowedRegions): AllowedRegions {
  if (first.kind === "any") {
    return second;
  }
  return { kind: "only", regions: first.regions.filter((region) => isAllowedIn(second, region)) };
}
