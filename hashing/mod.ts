/**
 * Hashes that are stable across processes, and rendezvous hashing based on them.
 *
 * @module
 */
export * from "./fnv1a.js";
export * from "./rendezvous.js";
