/**
 * Why a call may not go to a leaf at this moment.
 *
 * @module
 */

/** Why a call may not go to a leaf. */
export type BlockReason =
  /** The route is served in other regions only. */
  | { readonly kind: "home"; readonly region: string; readonly homes: ReadonlyArray<string> }
  /** Operators have the leaf's data centre emptied. */
  | { readonly kind: "evacuated"; readonly dataCentre: string }
  /** The leaf is cold, and this box's part of what it bears within a second is spent. */
  | { readonly kind: "cold"; readonly leafId: string }
  /** Leafs were lost under the query. */
  | { readonly kind: "quarantined"; readonly fingerprint: string };

const SENTENCES: {
  readonly [K in BlockReason["kind"]]: (
    barrier: Extract<BlockReason, { readonly kind: K }>,
  ) => string;
} = {
  home: ({ region, homes }) => `not served in ${region}, only in ${homes.join(" and ")}`,
  evacuated: ({ dataCentre }) => `${dataCentre} is evacuated`,
  cold: ({ leafId }) => `${leafId} is cold and has had its calls of this second`,
  quarantined: () => "leafs were lost under it",
};

/**
 * Tells in words why a call does not go to a leaf, for logs and operators.
 *
 * @param barrier - Why.
 * @returns A few words.
 */
export function describeBlockReason(barrier: BlockReason): string {
  return (SENTENCES[barrier.kind] as (barrier: BlockReason) => string)(barrier);
}
