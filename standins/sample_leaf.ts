/**
 * A leaf entry for tests that send it no calls.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";

/** A leaf entry; a test overrides the fields it depends on. */
export const SAMPLE_LEAF: Leaf = {
  leafId: "i-1",
  bornAtEpochMs: 1,
  entryRevision: 1,
  sequence: 1,
  service: "s",
  version: "v1",
  address: "127.0.0.1",
  port: 1,
  dataCentre: "hall-a",
  slots: 2,
  draining: false,
  warmingForMs: 0,
};
