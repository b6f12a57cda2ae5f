/**
 * A leaf for tests that do not reach it.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";

/** The leaf; each test changes what matters to it. */
export const SAMPLE_LEAF: Leaf = {
  leafId: "i-1",
  bornAtEpochMs: 1,
  entryRevision: 1,
  sequence: 1,
  service: "s",
  address: "127.0.0.1",
  port: 1,
  dataCentre: "hall-a",
  slots: 2,
  draining: false,
  warmingForMs: 0,
};
