/**
 * Rendezvous hashing: each process ranks the same names in the same order, and removing a name
 * reassigns only the keys that it owned.
 *
 * @module
 */
import { fnv1a } from "./fnv1a.js";

/**
 * Ranks names for a key by rendezvous (highest random weight) hashing.
 *
 * Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
 *
 * @param key - Key to assign.
 * @param names - Candidate owners.
 * @returns The candidates, highest weight first.
 */
export function rendezvousRank(key: string, names: ReadonlyArray<string>): ReadonlyArray<string> {
  return names
    .map((name) => ({ name, weight: fnv1a(`${name} ${key}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map((each) => each.name);
}
