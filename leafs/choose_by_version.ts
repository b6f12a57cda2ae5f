/**
 * Selects leafs while a rollout sends a share of a service's first calls to one version.
 *
 * @module
 */
import { type ChosenLeaf, chooseLeaf, type LeafChoiceContext } from "./choose_leaf.js";
import type { Leaf } from "./leaf.js";

/**
 * Selects the leaf for a first call: one of the preferred version, or any other if none of that
 * version can be called.
 *
 * @param leafs - Leafs of the service.
 * @param version - The preferred version, or `undefined` if there is none.
 * @param context - Inputs for the selection.
 * @returns The leaf, or `undefined` if none can be called.
 */
export function choosePreferred(
  leafs: ReadonlyArray<Leaf>,
  version: string | undefined,
  context: LeafChoiceContext,
): ChosenLeaf | undefined {
  const preferred =
    version === undefined
      ? undefined
      : chooseAmong(leafs, context, (leaf) => leaf.version === version);
  return preferred ?? chooseLeaf(leafs, context);
}

/**
 * Selects the leaf for a hedge or a retry: one of another version than the preferred one, or any if
 * there is no other. A hedge that goes to the version under test would rarely be faster if that
 * version is bad.
 *
 * @param leafs - Leafs of the service.
 * @param version - The version that first calls prefer, or `undefined` if there is none.
 * @param context - Inputs for the selection.
 * @returns The leaf, or `undefined` if none can be called.
 */
export function chooseOther(
  leafs: ReadonlyArray<Leaf>,
  version: string | undefined,
  context: LeafChoiceContext,
): ChosenLeaf | undefined {
  const other =
    version === undefined
      ? undefined
      : chooseAmong(leafs, context, (leaf) => leaf.version !== version);
  return other ?? chooseLeaf(leafs, context);
}

function chooseAmong(
  leafs: ReadonlyArray<Leaf>,
  context: LeafChoiceContext,
  isIncluded: (leaf: Leaf) => boolean,
): ChosenLeaf | undefined {
  return chooseLeaf(leafs.filter(isIncluded), context);
}
