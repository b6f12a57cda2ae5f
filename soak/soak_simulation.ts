/**
 * The simulation of a run: daemons, network, leafs and the platform, connected through fakes at their
 * ports.
 *
 * As with TCP, messages on a stream between daemons are lost only when the stream is closed. All other
 * messages may be lost, delayed, duplicated or reordered.
 *
 * @module
 */
import type { PeerAddress } from "../control/mod.js";
import { newEntryState, stepEntry } from "../entry/mod.js";
import type { Member, QueryRequest, Role } from "../model/mod.js";
import { newPoolState, stepPool } from "../pool/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { FakeLeaf, FakeRun } from "./fake_leaf.js";
import { FakePlatform } from "./fake_platform.js";
import type { SoakBox } from "./simulation_view.js";
import { SoakControl } from "./soak_control.js";
import { type AnswerListener, SoakEntries } from "./soak_entries.js";
import { type EntryNode, type PoolNode, SoakNetwork } from "./soak_network.js";
import { SoakNode } from "./soak_node.js";
import { SoakPools } from "./soak_pools.js";

/** Time for which callers may cache the address list, in milliseconds. */
const ADDRESS_TTL_MS = 500;

const PEER_PORTS: Readonly<Record<Role, number>> = { entry: 1, pool: 2 };

/** A simulated fleet with its platform and leafs. */
export class SoakSimulation {
  readonly schedule: Schedule;
  readonly platform: FakePlatform;
  readonly boxes: Array<SoakBox> = [];
  readonly leafs = new Map<string, FakeLeaf>();
  readonly runs: Array<FakeRun> = [];
  /** Descriptions of violated invariants. */
  readonly violations: Array<string> = [];
  /** Number of faults and other events that occurred, by kind. */
  readonly eventCounts: Record<string, number> = {};
  /** Calls sent to leafs that had begun to leave, with the time since then. */
  readonly callsWhileLeaving: Array<{ readonly leafId: string; readonly afterMs: number }> = [];
  readonly network: SoakNetwork;
  readonly #entries: SoakEntries;
  readonly #pools: SoakPools;
  #incarnations = 0;
  #requests = 0;

  /**
   * @param schedule - Virtual time.
   */
  constructor(schedule: Schedule) {
    this.schedule = schedule;
    this.platform = new FakePlatform(schedule);
    this.network = new SoakNetwork(schedule, {
      findPool: (poolId) => this.boxes.find(({ pool }) => pool.self.memberId === poolId)?.pool,
      countEvent: (kind) => this.countEvent(kind),
    });
    const control = new SoakControl(this);
    this.#entries = new SoakEntries(this, control);
    this.#pools = new SoakPools(this, control);
  }

  /**
   * Counts an event that occurred.
   *
   * @param kind - Kind of the event.
   */
  countEvent(kind: string): void {
    this.eventCounts[kind] = (this.eventCounts[kind] ?? 0) + 1;
  }

  readonly #paused = new Set<string>();

  /**
   * Records that a daemon was paused.
   *
   * @param incarnation - Incarnation of the daemon.
   */
  recordPause(incarnation: string): void {
    this.#paused.add(incarnation);
  }

  /**
   * Returns whether a daemon was ever paused.
   *
   * @param incarnation - Incarnation of the daemon.
   * @returns `true` if the daemon was paused at any time.
   */
  wasPaused(incarnation: string): boolean {
    return this.#paused.has(incarnation);
  }

  /**
   * Starts a box.
   *
   * @param box - Name of the box.
   * @param dataCentre - Data centre of the box.
   */
  addBox(box: string, dataCentre: string): void {
    const entry = this.#startEntry(box, dataCentre);
    const pool = this.#startPool(box, dataCentre);
    this.boxes.push({ box, dataCentre, entry, pool });
    this.publishBoxes();
  }

  /** Publishes the box list to the platform. */
  publishBoxes(): void {
    this.platform.setBoxes(
      this.boxes.map(({ box, dataCentre }) => ({
        box,
        dataCentre,
        address: box,
        leaving: false,
        entryPeerPort: PEER_PORTS.entry,
        poolPeerPort: PEER_PORTS.pool,
      })),
    );
  }

  #member(box: string, dataCentre: string, role: Role): Member {
    this.#incarnations += 1;
    return {
      memberId: `${box}/${role}`,
      incarnation: `i${this.#incarnations}`,
      startedAtEpochMs: this.schedule.nowMs + this.#incarnations,
      version: 1,
      state: "joining",
      role,
      box,
      dataCentre,
      address: box,
      peerPort: PEER_PORTS[role],
      callerPort: role === "entry" ? 3 : 0,
    };
  }

  #options(self: Member) {
    const seeds = this.boxes
      .filter(({ box }) => box !== self.box)
      .slice(0, 2)
      .map(({ box }) => ({ address: box, peerPort: PEER_PORTS.entry }));
    return { self, seeds, adviceKeepMs: ADDRESS_TTL_MS };
  }

  #startEntry(box: string, dataCentre: string): EntryNode {
    const self = this.#member(box, dataCentre, "entry");
    const node: EntryNode = new SoakNode(this.schedule, {
      self,
      state: newEntryState(this.#options(self)),
      step: stepEntry,
      run: (effect) => this.#entries.run(node, effect),
    });
    node.deliver((nowMs) => ({ kind: "started", nowMs }));
    return node;
  }

  #startPool(box: string, dataCentre: string): PoolNode {
    const self = this.#member(box, dataCentre, "pool");
    const node: PoolNode = new SoakNode(this.schedule, {
      self,
      state: newPoolState(this.#options(self)),
      step: stepPool,
      run: (effect) => this.#pools.run(node, effect),
    });
    node.deliver((nowMs) => ({ kind: "started", nowMs }));
    return node;
  }

  /**
   * Kills a daemon and starts it again, as another incarnation, after a delay.
   *
   * @param box - Box of the daemon.
   * @param role - Role of the daemon.
   * @param restartMs - Time until it starts again, in milliseconds.
   */
  kill(box: SoakBox, role: Role, restartMs: number): void {
    const node = box[role];
    node.isAlive = false;
    this.network.closeLinks((link) => link.entry === node || link.pool === node);
    this.schedule.after(restartMs, () => {
      if (role === "entry") {
        box.entry = this.#startEntry(box.box, box.dataCentre);
      } else {
        box.pool = this.#startPool(box.box, box.dataCentre);
      }
    });
  }

  /**
   * Returns the daemon at an address.
   *
   * @param peer - Address and port of the daemon.
   * @returns The current daemon, or `undefined` if there is none.
   */
  nodeAt({ address, peerPort }: PeerAddress): EntryNode | PoolNode | undefined {
    const box = this.boxes.find((each) => each.box === address);
    return peerPort === PEER_PORTS.entry ? box?.entry : box?.pool;
  }

  /**
   * Sends a query to an entry.
   *
   * @param entry - The entry.
   * @param request - The query.
   * @param listener - Called with the answer, unless the entry stops first.
   */
  sendQuery(entry: EntryNode, request: QueryRequest, listener: AnswerListener): void {
    this.#entries.deliverQuery(entry, request, { forwarded: false, listener });
  }

  /**
   * Requests a ticket from an entry.
   *
   * @param entry - The entry.
   * @param onTicket - Called with the ticket, unless the entry stops first.
   */
  requestTicket(entry: EntryNode, onTicket: (ticket: string) => void): void {
    this.#entries.requestTicket(entry, onTicket);
  }

  /** Returns the number of the next request between daemons. */
  nextRequestNumber(): number {
    this.#requests += 1;
    return this.#requests;
  }
}
