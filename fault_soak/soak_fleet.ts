/**
 * The real programs that a fault soak runs on: boxes as processes before a stand-in of the store and
 * stand-ins of leafs, each reached through a proxy.
 *
 * @module
 */
import {
  BoxFleet,
  type DataCentreName,
  type OperatorConfiguration,
  type PlatformBox,
  type RecordLeafStandin,
  toOperatorConfiguration,
} from "../platform/standin/mod.js";
import { LinkProxy } from "./link_proxy.js";

/** Shards of the gathered route. */
export const SHARDS: ReadonlyArray<string> = ["shard-1", "shard-2", "shard-3", "shard-4"];

/** Service of the route whose requests must not run twice. */
export const LEDGER = "ledger";

/** Host of all routes. */
export const HOST = "h.example";

/** Part of a path under which leafs end. */
export const ENDS_LEAFS = "ends-leafs-";

/** Route that is served in one region only, and the data centres there. */
export const HOME_ROUTE = { prefix: "/home/", region: "south", dataCentre: "hall-b" } as const;

/** Time in which nothing more goes to an evacuated data centre, in milliseconds. */
const EVACUATION_MS = 2_500;

/** A time in which a data centre was to be empty, on this process's clock. */
export interface Evacuation {
  readonly dataCentre: DataCentreName;
  readonly fromMs: number;
  untilMs: number;
}

/** Records of each leaf's answer, and those that a gathered answer holds. */
export const RECORDS = { perLeaf: 8, top: 5 } as const;

/** Share of the shards without which a gathered answer is no success. */
const LEAST_SHARE = 0.5;

const LEAF_ZONES: ReadonlyArray<DataCentreName> = ["hall-a", "hall-b"];
/** Where one box after the other stands. */
const BOX_ZONES: ReadonlyArray<DataCentreName> = ["hall-a", "hall-a", "hall-b", "hall-b"];

/** A leaf with the proxy before it. */
export interface SoakLeaf {
  readonly service: string;
  readonly dataCentre: DataCentreName;
  readonly leaf: RecordLeafStandin;
  readonly link: LinkProxy;
  /** Moment at which it said that it is draining; infinite before. */
  drainingSinceMs: number;
  /** Whether its process has ended, so that it writes nothing any more; one that drains writes on. */
  hasEnded: boolean;
}

/** A box with the proxy between it and the store. */
export interface SoakBox {
  readonly box: PlatformBox;
  readonly storeLink: LinkProxy;
  /** Counts its processes, so that what one has shown is not held against the next. */
  life: number;
  /** Whether a fault is in the course of ending or pausing its process. */
  isHit: boolean;
  /** Whether it is in the course of a planned stop. */
  isStopping: boolean;
}

/** All programs of a run. */
export class SoakFleet {
  readonly fleet: BoxFleet;
  readonly boxes: Array<SoakBox> = [];
  readonly leafs: Array<SoakLeaf> = [];
  /** Every leaf there ever was, so that runs of those that are gone count too. */
  readonly allLeafs: Array<SoakLeaf> = [];
  /** When each version of the configuration was written, the first at 0; on this process's clock. */
  readonly #changedAtMs: Array<number> = [];
  /** All times in which a data centre was to be empty. */
  readonly evacuations: Array<Evacuation> = [];
  #leafCount = 0;

  private constructor(fleet: BoxFleet) {
    this.fleet = fleet;
  }

  /**
   * Starts all programs and waits until the boxes are ready.
   *
   * @param boxCount - How many boxes there are.
   * @returns The programs.
   */
  static async start(boxCount: number): Promise<SoakFleet> {
    const soak = new SoakFleet(await BoxFleet.start({ evacuationMs: EVACUATION_MS }));
    soak.changeConfiguration();
    for (const service of [...SHARDS, LEDGER]) {
      for (const dataCentre of LEAF_ZONES) {
        await soak.addLeaf(service, dataCentre);
      }
    }
    for (let number = 0; number < boxCount; number++) {
      await soak.#addBox(BOX_ZONES[number % BOX_ZONES.length] ?? "hall-a");
    }
    await soak.fleet.waitUntilReady();
    return soak;
  }

  /** Version of the newest configuration. */
  get version(): number {
    return this.#changedAtMs.length;
  }

  /** Writes the next configuration, which has one more route: `/version-N/`. */
  changeConfiguration(): void {
    this.#changedAtMs.push(performance.now());
    this.fleet.configure(configuration(this.version));
  }

  /** Asks that nothing more be sent to the leafs of a data centre. */
  evacuate(dataCentre: DataCentreName): Evacuation {
    const evacuation = { dataCentre, fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
    this.evacuations.push(evacuation);
    this.fleet.platform.put("evacuations", dataCentre, {});
    return evacuation;
  }

  /** Takes an evacuation back. */
  endEvacuation(evacuation: Evacuation): void {
    evacuation.untilMs = performance.now();
    this.fleet.platform.remove("evacuations", evacuation.dataCentre);
  }

  /** Writes what operators and leafs had written, as a store that came back from a copy lacks the latest of it. */
  writeAgain(): void {
    this.fleet.configure(configuration(this.version));
    for (const { dataCentre, untilMs } of this.evacuations) {
      if (untilMs === Number.POSITIVE_INFINITY) {
        this.fleet.platform.put("evacuations", dataCentre, {});
      } else {
        this.fleet.platform.remove("evacuations", dataCentre);
      }
    }
    for (const { leaf, hasEnded } of this.allLeafs) {
      if (!hasEnded) {
        leaf.rewriteEntry();
      }
    }
  }

  /**
   * Tells when a configuration was written.
   *
   * @param version - Its version.
   * @returns The moment on this process's clock, in milliseconds.
   */
  changedAtMs(version: number): number {
    return this.#changedAtMs[version - 1] ?? Number.POSITIVE_INFINITY;
  }

  /**
   * Starts a leaf behind a proxy.
   *
   * @param service - Its service.
   * @param dataCentre - Where it stands.
   * @param options - Id that it had in an earlier incarnation; a new one by default.
   */
  async addLeaf(
    service: string,
    dataCentre: DataCentreName,
    { leafId }: { readonly leafId?: string } = {},
  ): Promise<void> {
    this.#leafCount += 1;
    const links: Array<LinkProxy> = [];
    const leaf = await this.fleet.addLeaf({
      leafId: leafId ?? `leaf-${this.#leafCount}`,
      born: this.#leafCount,
      service,
      dataCentre,
      recordCount: RECORDS.perLeaf,
      crashOnPath: ENDS_LEAFS,
      startProxy: (port) => {
        const link = new LinkProxy(port);
        links.push(link);
        return link.open();
      },
    });
    const [link = new LinkProxy(0)] = links;
    const state = { drainingSinceMs: Number.POSITIVE_INFINITY, hasEnded: false };
    const entry = { service, dataCentre, leaf, link, ...state };
    this.leafs.push(entry);
    this.allLeafs.push(entry);
  }

  /** Ends all programs. */
  async stop(): Promise<void> {
    for (const { link } of this.allLeafs) {
      link.close();
    }
    for (const { storeLink } of this.boxes) {
      storeLink.close();
    }
    await this.fleet.stop();
  }

  async #addBox(dataCentre: DataCentreName): Promise<void> {
    const storeLink = new LinkProxy(this.fleet.platform.port);
    const box = await this.fleet.addBox(dataCentre, await storeLink.open());
    this.boxes.push({ box, storeLink, life: 1, isHit: false, isStopping: false });
  }
}

function configuration(version: number): OperatorConfiguration {
  const single = { host: HOST, service: LEDGER };
  const gather = { shards: SHARDS, topRecords: RECORDS.top, leastShare: LEAST_SHARE };
  const added = Array.from({ length: version }, (_, index) => {
    const name = `version-${index + 1}`;
    return { ...single, name, prefix: `/${name}/`, repeatable: true };
  });
  return toOperatorConfiguration({
    version,
    routes: [
      { host: HOST, name: "sweep", prefix: "/sweep/", repeatable: true, gather },
      {
        ...{ host: HOST, name: "home", prefix: HOME_ROUTE.prefix, repeatable: true, gather },
        homes: [HOME_ROUTE.region],
      },
      { ...single, name: LEDGER, prefix: `/${LEDGER}/`, repeatable: false },
      ...added,
    ],
    services: [...SHARDS, LEDGER],
  });
}
