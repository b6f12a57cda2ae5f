/**
 * Why a call may not be sent to a leaf.
 *
 * @module
 */

/** Why a call may not be sent to a leaf. */
export type BlockReason =
  /** The route is restricted to other regions. */
  | {
      readonly kind: "region";
      readonly region: string;
      readonly allowedRegions: ReadonlyArray<string>;
    }
  /** The leaf's data centre is evacuated. */
  | { readonly kind: "evacuated"; readonly dataCentre: string }
  /** The leaf is cold, and this box has used its quota of calls for the current second. */
  | { readonly kind: "cold"; readonly leafId: string }
  /** The query has crashed leafs. */
  | { readonly kind: "quarantined"; readonly fingerprint: string };

const DESCRIPTIONS: {
  readonly [K in BlockReason["kind"]]: (
    reason: Extract<BlockReason, { readonly kind: K }>,
  ) => string;
} = {
  region: ({ region, allowedRegions }) =>
    `not served in ${region}, only in ${allowedRegions.join(" and ")}`,
  evacuated: ({ dataCentre }) => `${dataCentre} is evacuated`,
  cold: ({ leafId }) => `${leafId} is cold and its quota for this second is used up`,
  quarantined: () => "query is quarantined",
};

/**
 * Describes a block reason, for logs and operators.
 *
 * @param reason - The reason.
 * @returns A short phrase.
 */
export function describeBlockReason(reason: BlockReason): string {
  return (DESCRIPTIONS[reason.kind] as (reason: BlockReason) => string)(reason);
}
