/**
 * What a box concludes from the boxes it knows: who serves, who watches the store, who is told, and
 * its share of a leaf's connections.
 *
 * @module
 */
import type { Member } from "../model/mod.js";
import type { BoxSettings, SocketAddress } from "../platform/mod.js";
import { servingBoxes } from "./serving_boxes.js";
import { storeWatchers } from "./store_watchers.js";

/** Most connections of one box to a leaf; more than this are never needed at its few slots. */
const MOST_CONNECTIONS = 8;

/**
 * Part of what all boxes may spend that is shared by those that serve; the rest by all, for requests that
 * reach one that stands by. Shared by all 195 boxes of a fleet, of which 18 serve, nine in ten of the
 * extra calls allowed lay where no request comes in: a serving box had 1 in ten seconds and a shard.
 */
const SERVING_PART = 0.72;

/** What the view is made from. */
export interface FleetViewOptions {
  readonly settings: () => Pick<
    BoxSettings,
    "box" | "dataCentre" | "regions" | "seeds" | "recoveryDeadlineMs"
  >;
  /** All boxes heard of, this one included. */
  readonly members: () => ReadonlyArray<Member>;
  /** Boxes that can be given work, this one included if it can. */
  readonly alive: () => ReadonlyArray<Member>;
  /** Time for which no other box was heard, in milliseconds. */
  readonly sinceLastContactMs: () => number;
}

/** The fleet as one box sees it. */
export class FleetView {
  readonly #options: FleetViewOptions;
  readonly #serving = new Map<string, ReadonlyArray<Member>>();
  readonly #callersOfCold = new Map<string, ReadonlyArray<string>>();
  #watchesStore: boolean | undefined;

  /**
   * @param options - What the view is made from.
   */
  constructor(options: FleetViewOptions) {
    this.#options = options;
  }

  /** Says that a box has changed, so that conclusions are drawn anew. */
  invalidate(): void {
    this.#serving.clear();
    this.#callersOfCold.clear();
    this.#watchesStore = undefined;
  }

  /** Boxes that share what is shared over all of them; no fewer than the settings name. */
  countBoxes(): number {
    const present = this.#options.members().filter(({ state }) => state !== "dead");
    return Math.max(this.#options.settings().seeds.length, present.length);
  }

  /**
   * Lists the boxes that serve a region. Asked for with each call, so it is kept until a box changes.
   *
   * @param region - The region.
   * @returns The boxes.
   */
  servingBoxes(region: string): ReadonlyArray<Member> {
    const kept = this.#serving.get(region);
    if (kept !== undefined) {
      return kept;
    }
    const { alive, settings } = this.#options;
    const { regions } = settings();
    const near = alive().filter(({ dataCentre }) => regions.get(dataCentre) === region);
    const serving = servingBoxes(near);
    this.#serving.set(region, serving);
    return serving;
  }

  /**
   * Lists the addresses that callers are told to use.
   *
   * @param region - Where the caller stands.
   * @param homes - Regions in which the routes of the host that the caller asked for are served; any by default.
   * @returns Addresses of that region's boxes; where none there can be given work, of those at home, else of all. This box alone
   *   while it is cut off from the others.
   */
  resolveAddresses(
    region: string,
    homes: ReadonlyArray<string> = [],
  ): ReadonlyArray<SocketAddress> {
    const self = this.#alone();
    const near = self === undefined ? this.servingBoxes(region) : [self];
    const atHome = near.length > 0 ? near : homes.flatMap((home) => this.servingBoxes(home));
    const advised = atHome.length > 0 ? atHome : this.#options.alive();
    return advised.map(({ address, callerPort }) => ({ address, port: callerPort }));
  }

  /**
   * This box, where it has been cut off from all others for so long that boxes it takes for alive may have ended a
   * while ago: naming them would cost each caller a second.
   */
  #alone(): Member | undefined {
    const { alive, settings, sinceLastContactMs: unheardForMs } = this.#options;
    const { box, recoveryDeadlineMs: soundAfterMs } = settings();
    return unheardForMs() > soundAfterMs
      ? alive().find(({ memberId }) => memberId === box)
      : undefined;
  }

  /** Whether this box is among those that watch the store; kept until a box changes. */
  watchesStore(): boolean {
    this.#watchesStore ??= storeWatchers(this.#nearLiving()).has(this.#options.settings().box);
    return this.#watchesStore;
  }

  /** Other boxes of the own region. */
  regionPeers(): ReadonlyArray<Member> {
    const { box } = this.#options.settings();
    return this.#nearLiving().filter(({ memberId }) => memberId !== box);
  }

  /**
   * Lists the boxes that are told at once of what this one learns: all near, and one of each other
   * region, which tells its own. Also those that watch the store, as it may turn some boxes away: told
   * by the regular exchanges alone, configurations took up to 3.6 s from box to box.
   *
   * @returns The boxes.
   */
  updateRecipients(): ReadonlyArray<Member> {
    const { dataCentre, regions } = this.#options.settings();
    const own = regions.get(dataCentre);
    const elsewhere = [...new Set(regions.values())].filter((region) => region !== own);
    return [...this.regionPeers(), ...elsewhere.flatMap((region) => this.#oneOf(region))];
  }

  /** A random box, so that one that hears nothing is not told again and again. */
  #oneOf(region: string): ReadonlyArray<Member> {
    const serving = this.servingBoxes(region);
    const box = serving[Math.floor(Math.random() * serving.length)];
    return box === undefined ? [] : [box];
  }

  /**
   * Works out how many connections this box may have to a leaf. Serving boxes share them; one that
   * stands by needs few, if any.
   *
   * @param mostConnections - Connections that the leaf takes from all boxes.
   * @returns This box's share, one at least.
   */
  connectionShare(mostConnections: number): number {
    const { countServing, isServing } = this.#serves();
    const sharers = isServing ? countServing : this.countBoxes();
    const share = Math.floor(mostConnections / (sharers + 1));
    return Math.max(1, Math.min(MOST_CONNECTIONS, share));
  }

  /**
   * Works out this box's share of what all boxes may spend together. On boxes that know the same members
   * the shares come to 1.
   *
   * @returns The share, 0 to 1.
   */
  slackShare(): number {
    const { countServing, isServing } = this.#serves();
    const ofAll = (1 - SERVING_PART) / this.countBoxes();
    return isServing ? ofAll + SERVING_PART / countServing : ofAll;
  }

  /**
   * Lists the boxes that may call leafs of a data centre while these are cold: those that serve its region, also
   * where they seem to be dead, as one that is cut off goes on calling. None before another box is known: the parts
   * of boxes that start together would each be the whole.
   *
   * @param dataCentre - The data centre.
   * @returns Their names.
   */
  coldLeafCallers(dataCentre: string): ReadonlyArray<string> {
    const kept = this.#callersOfCold.get(dataCentre);
    const callers = kept ?? this.#findCallersOfCold(dataCentre);
    this.#callersOfCold.set(dataCentre, callers);
    return callers;
  }

  #findCallersOfCold(dataCentre: string): ReadonlyArray<string> {
    const { members, settings } = this.#options;
    const { regions } = settings();
    const known = members().filter(({ state }) => state !== "leaving");
    if (known.length < 2) {
      return [];
    }
    const region = regions.get(dataCentre);
    const near = known.filter((member) => regions.get(member.dataCentre) === region);
    return servingBoxes(near).map(({ memberId }) => memberId);
  }

  /** Boxes that serve some region: callers' requests come in at these. */
  allServingBoxes(): ReadonlyArray<Member> {
    const { regions } = this.#options.settings();
    return [...new Set(regions.values())].flatMap((region) => this.servingBoxes(region));
  }

  /** How many boxes serve in all regions, and whether this one does. */
  #serves(): { readonly countServing: number; readonly isServing: boolean } {
    const { box } = this.#options.settings();
    const serving = this.allServingBoxes();
    const isServing = serving.some(({ memberId }) => memberId === box);
    return { countServing: serving.length, isServing };
  }

  #nearLiving(): ReadonlyArray<Member> {
    const { members, settings } = this.#options;
    const { dataCentre, regions } = settings();
    const region = regions.get(dataCentre);
    return members().filter((member) => {
      const isLiving = member.state === "alive" || member.state === "joining";
      return isLiving && regions.get(member.dataCentre) === region;
    });
  }
}
