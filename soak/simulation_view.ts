/**
 * The part of the simulation that the effects of daemons act on.
 *
 * @module
 */
import type { PeerAddress } from "../control/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { FakeLeaf } from "./fake_leaf.js";
import type { FakePlatform } from "./fake_platform.js";
import type { EntryNode, PoolNode, SoakNetwork } from "./soak_network.js";

/** A box with its current daemons. */
export interface SoakBox {
  readonly box: string;
  readonly dataCentre: string;
  entry: EntryNode;
  pool: PoolNode;
}

/** State of the simulation that effects act on. */
export interface SimulationView {
  readonly schedule: Schedule;
  readonly platform: FakePlatform;
  readonly boxes: ReadonlyArray<SoakBox>;
  readonly network: SoakNetwork;
  readonly leafs: ReadonlyMap<string, FakeLeaf>;
  /** Descriptions of violated invariants. */
  readonly violations: Array<string>;
  /** Calls sent to leafs that had begun to leave, with the time since then. */
  readonly callsWhileLeaving: Array<{ readonly leafId: string; readonly afterMs: number }>;
  /** Counts an event that occurred. */
  countEvent(kind: string): void;
  /** Returns the number of the next request between daemons. */
  nextRequestNumber(): number;
  /** Returns the daemon at an address. */
  nodeAt(address: PeerAddress): EntryNode | PoolNode | undefined;
}
