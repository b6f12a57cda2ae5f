/**
 * Why a call may not be sent to a leaf.
 *
 * @module
 */
import type { VersionBlockCause } from "../rollouts/mod.js";
import type { AllowedRegions } from "../routing/mod.js";

/** Why a call may not be sent to a leaf. */
export type BlockReason =
  /** The request is restricted to other regions. */
  | {
      readonly kind: "region";
      readonly region: string;
      readonly allowedRegions: AllowedRegions;
    }
  /** The leaf's data centre is evacuated. */
  | { readonly kind: "evacuated"; readonly dataCentre: string }
  /** The leaf's version may not be called, because of a rollout. */
  | {
      readonly kind: "version";
      readonly service: string;
      readonly version: string;
      readonly cause: VersionBlockCause;
    }
  /** The leaf is cold, and this box has used its quota of calls for the current second. */
  | { readonly kind: "cold"; readonly leafId: string }
  /** The query has crashed leafs. */
  | { readonly kind: "quarantined"; readonly fingerprint: string };

const VERSION_CAUSES: Readonly<Record<VersionBlockCause, string>> = {
  held: "is new and held until its order is known",
  exposureLimit: "has used this box's exposure credit",
  bad: "was judged as bad",
  retired: "is retired",
  switching: "is being replaced",
};

/**
 * Describes why a version may not be called, for logs and operators.
 *
 * @param reason - The service, its version and the cause.
 * @returns A short phrase.
 */
export function describeVersionBlock({
  cause,
  service,
  version,
}: Omit<Extract<BlockReason, { readonly kind: "version" }>, "kind">): string {
  return `version ${version} of ${service} ${VERSION_CAUSES[cause]}`;
}

const DESCRIPTIONS: {
  readonly [K in BlockReason["kind"]]: (
    reason: Extract<BlockReason, { readonly kind: K }>,
  ) => string;
} = {
  region: ({ region, allowedRegions }) =>
    `not served in ${region}, only in ${describeRegions(allowedRegions)}`,
  evacuated: ({ dataCentre }) => `${dataCentre} is evacuated`,
  version: describeVersionBlock,
  cold: ({ leafId }) => `${leafId} is cold and its quota for this second is used up`,
  quarantined: () => "query is quarantined",
};

function describeRegions(allowed: AllowedRegions): string {
  const regions = allowed.kind === "only" ? allowed.regions : [];
  return regions.length === 0 ? "none of the regions" : regions.join(" and ");
}

/**
 * Describes a block reason, for logs and operators.
 *
 * @param reason - The reason.
 * @returns A short phrase.
 */
export function describeBlockReason(reason: BlockReason): string {
  return (DESCRIPTIONS[reason.kind] as (reason: BlockReason) => string)(reason);
}
