/**
 * Decisions that a box derives from the boxes it knows: which of them serve, watch the store and
 * receive updates, and its own share of limits that all boxes share.
 *
 * @module
 */
import type { FleetSize, Member } from "../model/mod.js";
import type { BoxSettings, SocketAddress } from "../platform/mod.js";
import { boxWeight, sumOfWeights } from "./box_weight.js";
import { type AddressLookup, callerAddresses } from "./caller_addresses.js";
import { servingBoxes } from "./serving_boxes.js";
import { storeWatchers } from "./store_watchers.js";

/** Maximum number of connections of one box to a leaf; a leaf has too few slots to use more. */
const MAX_CONNECTIONS = 8;

/** This box's share of the slack of extra calls, and what it follows from. */
export interface SlackShare {
  /** The share, 0 to 1. */
  readonly share: number;
  /** Number of boxes that the store lists; 0 while it is unknown. */
  readonly listedBoxes: number;
  /** Number of boxes that are not considered dead, including this one. */
  readonly runningBoxes: number;
}

/** The boxes that are not considered dead. */
interface RunningBoxes {
  readonly coresByBox: ReadonlyMap<string, number>;
  readonly totalWeight: number;
}

/** Stands for the size of a fleet that is not known yet. */
const UNKNOWN_SIZE = { boxCount: 0, totalWeight: 0 } as const;

/** Options of a fleet view. */
export interface FleetViewOptions {
  readonly settings: () => Pick<
    BoxSettings,
    "box" | "dataCentre" | "processorCores" | "recoveryDeadlineMs" | "regions" | "seeds"
  >;
  /** Returns all known boxes, including this one and dead ones. */
  readonly members: () => ReadonlyArray<Member>;
  /** Returns the boxes that accept work, including this one if it does. */
  readonly alive: () => ReadonlyArray<Member>;
  /** Returns the totals of the store's list of boxes; `undefined` while they are unknown. */
  readonly fleetSize: () => FleetSize | undefined;
  /** Returns the time since the last contact with another box, in milliseconds. */
  readonly sinceLastContactMs: () => number;
  /**
   * Returns the round-trip time to a data centre, in milliseconds; `undefined` if it is unknown.
   */
  readonly roundTripMs: (dataCentre: string) => number | undefined;
}

/** One box's view of the fleet. Results are cached until a box changes. */
export class FleetView {
  readonly #options: FleetViewOptions;
  readonly #serving = new Map<string, ReadonlyArray<Member>>();
  readonly #coldLeafCallers = new Map<string, ReadonlyArray<string>>();
  #running: RunningBoxes | undefined;
  #watchesStore: boolean | undefined;

  /**
   * @param options - Options of the view.
   */
  constructor(options: FleetViewOptions) {
    this.#options = options;
  }

  /** Discards cached results after a box has changed. */
  invalidate(): void {
    this.#serving.clear();
    this.#coldLeafCallers.clear();
    this.#running = undefined;
    this.#watchesStore = undefined;
  }

  /**
   * Returns the number of boxes that divide shared limits, at least the number of seeds in the
   * settings. Boxes that this one cannot reach are included, as they continue to run.
   */
  countBoxes(): number {
    const { fleetSize, settings } = this.#options;
    const listedCount = fleetSize()?.boxCount ?? 0;
    return Math.max(settings().seeds.length, this.runningBoxes().size, listedCount);
  }

  /** Returns the processor cores of the boxes that are not considered dead, by box. */
  runningBoxes(): ReadonlyMap<string, number> {
    return this.#findRunning().coresByBox;
  }

  #findRunning(): RunningBoxes {
    if (this.#running === undefined) {
      const cores = coresByBox(this.#options.members().filter(({ state }) => state !== "dead"));
      this.#running = { coresByBox: cores, totalWeight: sumOfWeights(cores.values()) };
    }
    return this.#running;
  }

  /** Returns the processor cores of all known boxes, including dead ones, by box. */
  knownBoxes(): ReadonlyMap<string, number> {
    return coresByBox(this.#options.members());
  }

  /**
   * Returns the boxes that serve a region.
   *
   * @param region - Name of the region.
   * @returns The serving boxes.
   */
  servingBoxes(region: string): ReadonlyArray<Member> {
    const cached = this.#serving.get(region);
    if (cached !== undefined) {
      return cached;
    }
    const { alive, settings } = this.#options;
    const { regions } = settings();
    const local = alive().filter(({ dataCentre }) => regions.get(dataCentre) === region);
    const serving = servingBoxes(local);
    this.#serving.set(region, serving);
    return serving;
  }

  /**
   * Returns the addresses that callers should use. While this box has been disconnected from all
   * others for too long, this is only its own address.
   *
   * @param caller - Location of the caller and the routes that it looks up.
   * @returns Addresses of serving boxes of the caller's region, in its data centre if the others
   *   are distant; if there are none, of those of the allowed regions, or else of all boxes.
   */
  resolveAddresses(caller: AddressLookup): ReadonlyArray<SocketAddress> {
    return callerAddresses(caller, {
      ...this.#options,
      servingBoxes: (region) => this.servingBoxes(region),
    });
  }

  /** Returns whether this box is one of those that watch the store. */
  watchesStore(): boolean {
    this.#watchesStore ??= storeWatchers(this.#localLiveMembers()).has(
      this.#options.settings().box,
    );
    return this.#watchesStore;
  }

  /** Returns the other boxes of this box's region. */
  regionPeers(): ReadonlyArray<Member> {
    const { box } = this.#options.settings();
    return this.#localLiveMembers().filter(({ memberId }) => memberId !== box);
  }

  /**
   * Returns the boxes to notify immediately of an update: all other boxes of this region, and one
   * of each other region, which notifies its own. Boxes that watch the store are included, as it
   * may refuse some of them.
   *
   * @returns The boxes to notify.
   */
  updateRecipients(): ReadonlyArray<Member> {
    const { dataCentre, regions } = this.#options.settings();
    const ownRegion = regions.get(dataCentre);
    const otherRegions = [...new Set(regions.values())].filter((region) => region !== ownRegion);
    return [
      ...this.regionPeers(),
      ...otherRegions.flatMap((region) => this.#randomServingBox(region)),
    ];
  }

  /** Returns a random serving box, so that an unreachable one is not selected each time. */
  #randomServingBox(region: string): ReadonlyArray<Member> {
    const serving = this.servingBoxes(region);
    const box = serving[Math.floor(Math.random() * serving.length)];
    return box === undefined ? [] : [box];
  }

  /**
   * Computes how many connections this box may have to a leaf. The serving boxes divide them; a box
   * on standby needs few.
   *
   * @param maxConnections - Maximum number of connections to the leaf from all boxes.
   * @returns This box's share, at least 1.
   */
  connectionShare(maxConnections: number): number {
    const { servingCount, isServing } = this.#servingState();
    const boxCount = isServing ? servingCount : this.countBoxes();
    const share = Math.floor(maxConnections / (boxCount + 1));
    return Math.max(1, Math.min(MAX_CONNECTIONS, share));
  }

  /**
   * Computes this box's share of the slack of all boxes. It does not depend on which other boxes
   * this one knows or considers dead, as these may continue to run: the shares of all boxes add up
   * to at most 1.
   *
   * @returns The share, and what it follows from; 0 while the size of the fleet is unknown.
   */
  slackShare(): SlackShare {
    const { fleetSize, settings } = this.#options;
    const { boxCount, totalWeight } = fleetSize() ?? UNKNOWN_SIZE;
    const running = this.#findRunning();
    const divisor = Math.max(totalWeight, running.totalWeight);
    const share = boxCount === 0 ? 0 : boxWeight(settings().processorCores) / divisor;
    return { share, listedBoxes: boxCount, runningBoxes: running.coresByBox.size };
  }

  /**
   * Returns the boxes that may call leafs of a data centre while these are cold: the boxes that
   * serve its region. Dead ones are included, as a disconnected box continues to call. The result
   * is empty until all boxes that the store lists are known, as otherwise each of several boxes
   * that start together would take too large a part of the limit.
   *
   * @param dataCentre - Name of the data centre.
   * @returns The ids of the boxes.
   */
  coldLeafCallers(dataCentre: string): ReadonlyArray<string> {
    const cached = this.#coldLeafCallers.get(dataCentre);
    const callers = cached ?? this.#findColdLeafCallers(dataCentre);
    this.#coldLeafCallers.set(dataCentre, callers);
    return callers;
  }

  #findColdLeafCallers(dataCentre: string): ReadonlyArray<string> {
    const { fleetSize, members, settings } = this.#options;
    const { regions } = settings();
    const isComplete = members().length >= (fleetSize()?.boxCount ?? Number.POSITIVE_INFINITY);
    const known = members().filter(({ state }) => state !== "leaving");
    if (!isComplete || known.length < 2) {
      return [];
    }
    const region = regions.get(dataCentre);
    const local = known.filter((member) => regions.get(member.dataCentre) === region);
    return servingBoxes(local).map(({ memberId }) => memberId);
  }

  /** Returns the serving boxes of all regions. */
  allServingBoxes(): ReadonlyArray<Member> {
    const { regions } = this.#options.settings();
    return [...new Set(regions.values())].flatMap((region) => this.servingBoxes(region));
  }

  /** Returns the number of serving boxes in all regions, and whether this box is one of them. */
  #servingState(): { readonly servingCount: number; readonly isServing: boolean } {
    const { box } = this.#options.settings();
    const serving = this.allServingBoxes();
    const isServing = serving.some(({ memberId }) => memberId === box);
    return { servingCount: serving.length, isServing };
  }

  #localLiveMembers(): ReadonlyArray<Member> {
    const { members, settings } = this.#options;
    const { dataCentre, regions } = settings();
    const region = regions.get(dataCentre);
    return members().filter((member) => {
      const isLive = member.state === "alive" || member.state === "joining";
      return isLive && regions.get(member.dataCentre) === region;
    });
  }
}

function coresByBox(members: ReadonlyArray<Member>): ReadonlyMap<string, number> {
  return new Map(members.map(({ memberId, processorCores = 1 }) => [memberId, processorCores]));
}
