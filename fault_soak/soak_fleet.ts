/**
 * The programs of a fault soak: real box processes with stand-ins for the store and the leafs, each
 * behind a proxy.
 *
 * @module
 */
import {
  BoxFleet,
  type DataCentreName,
  type LeafDefect,
  type PlatformBox,
  type RecordLeafStandin,
  ROLLOUT_BOUNDS,
  serviceRecords,
} from "../platform/standin/mod.js";
import { type BoxLog, type LogReader, openBoxLog } from "./box_log.js";
import type { Disturbance } from "./disturbance.js";
import { LinkProxy } from "./link_proxy.js";
import { ARCHIVE, LEDGER, recordCountOf, SHARDS, soakConfiguration } from "./soak_configuration.js";

/** Part of a path whose requests crash leafs. */
export const CRASHING_PATH_PART = "ends-leafs-";

/** Time after which no requests may reach an evacuated data centre, in milliseconds. */
const EVACUATION_MS = 2_500;

/** An evacuation of a data centre, in milliseconds on this process's clock. */
export interface Evacuation {
  readonly dataCentre: DataCentreName;
  readonly fromMs: number;
  untilMs: number;
}

const LEAF_ZONES: ReadonlyArray<DataCentreName> = ["hall-a", "hall-b"];
/** Data centres of the boxes, assigned in turn. */
const BOX_ZONES: ReadonlyArray<DataCentreName> = ["hall-a", "hall-a", "hall-b", "hall-b"];

/** Version and defects of a leaf. */
export interface LeafBuild {
  readonly version: string;
  readonly defects: ReadonlyArray<LeafDefect>;
}

const FIRST_BUILD: LeafBuild = { version: "v1", defects: [] };

/** A leaf with the proxy in front of it. */
export interface SoakLeaf {
  readonly build: LeafBuild;
  readonly service: string;
  readonly dataCentre: DataCentreName;
  readonly leaf: RecordLeafStandin;
  readonly link: LinkProxy;
  /** Periods in which its link held up or cut calls. */
  readonly linkFaults: Array<Disturbance>;
  /** Time at which it started to drain, in milliseconds; infinite before. */
  drainingSinceMs: number;
  /** Whether its process has terminated, so that it no longer writes its entry. */
  hasEnded: boolean;
}

/** A box with the proxy between it and the store. */
export interface SoakBox {
  readonly box: PlatformBox;
  readonly storeLink: LinkProxy;
  readonly log: BoxLog;
  /** Number of processes started for it. */
  incarnation: number;
  /**
   * Number of its processes that have ended: the next one may respond before it counts as started.
   */
  endedCount: number;
  /** Whether a fault is currently stopping or pausing its process. */
  hasProcessFault: boolean;
  /** Whether it is in a planned stop. */
  isStopping: boolean;
}

/** Options of {@linkcode SoakFleet.start}. */
export interface SoakFleetOptions {
  /** Whether rollouts are enabled; not by default. */
  readonly rollouts?: boolean | undefined;
  /** Whether there is a service with long answers; not by default. */
  readonly hasArchive?: boolean;
  /** How the logs of the boxes are read, by index of the box; completely by default. */
  readonly logReaders?: ReadonlyArray<LogReader>;
}

/** All programs of a run. */
export class SoakFleet {
  readonly fleet: BoxFleet;
  readonly boxes: Array<SoakBox> = [];
  readonly leafs: Array<SoakLeaf> = [];
  /** All leafs ever started, including terminated ones. */
  readonly allLeafs: Array<SoakLeaf> = [];
  /**
   * Time at which each version of the configuration was written, in milliseconds on this process's
   * clock.
   */
  readonly #changedAtMs: Array<number> = [];
  /** All evacuations, including past ones. */
  readonly evacuations: Array<Evacuation> = [];
  readonly #hasArchive: boolean;
  #leafCount = 0;

  private constructor(fleet: BoxFleet, { hasArchive = false }: SoakFleetOptions) {
    this.fleet = fleet;
    this.#hasArchive = hasArchive;
  }

  /**
   * Starts all programs and waits until the boxes are ready.
   *
   * @param boxCount - Number of boxes.
   * @param options - Services and features of the installation.
   * @returns The programs.
   */
  static async start(boxCount: number, soakOptions: SoakFleetOptions = {}): Promise<SoakFleet> {
    const { rollouts = false, hasArchive = false, logReaders = [] } = soakOptions;
    const options = { evacuationMs: EVACUATION_MS };
    const fleet = BoxFleet.start(rollouts ? { ...options, rollouts: ROLLOUT_BOUNDS } : options);
    const soak = new SoakFleet(await fleet, soakOptions);
    soak.changeConfiguration();
    if (hasArchive) {
      // Builds its long answer once, which takes a while.
      serviceRecords(ARCHIVE.service, recordCountOf(ARCHIVE.service));
    }
    for (const service of [...SHARDS, LEDGER, ...(hasArchive ? [ARCHIVE.service] : [])]) {
      for (const dataCentre of LEAF_ZONES) {
        await soak.addLeaf(service, dataCentre);
      }
    }
    for (let number = 0; number < boxCount; number++) {
      const dataCentre = BOX_ZONES[number % BOX_ZONES.length] ?? "hall-a";
      await soak.#addBox(dataCentre, logReaders[number] ?? "prompt");
    }
    await soak.fleet.waitUntilReady();
    return soak;
  }

  /** Version of the latest configuration. */
  get version(): number {
    return this.#changedAtMs.length;
  }

  /** Writes the next configuration, which has one more route: `/version-N/`. */
  changeConfiguration(): void {
    this.#changedAtMs.push(performance.now());
    this.#writeConfiguration();
  }

  /** Requests the evacuation of a data centre. */
  evacuate(dataCentre: DataCentreName): Evacuation {
    const evacuation = { dataCentre, fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
    this.evacuations.push(evacuation);
    this.fleet.platform.put("evacuations", dataCentre, {});
    return evacuation;
  }

  /** Ends an evacuation. */
  endEvacuation(evacuation: Evacuation): void {
    evacuation.untilMs = performance.now();
    this.fleet.platform.remove("evacuations", evacuation.dataCentre);
  }

  /**
   * Writes the entries of operators and leafs again, as a store restored from a backup lacks the
   * latest ones.
   */
  rewriteEntries(): void {
    this.#writeConfiguration();
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
   * Returns the time at which a version of the configuration was written.
   *
   * @param version - The version.
   * @returns Time in milliseconds on this process's clock; infinite if it has not been written.
   */
  changedAtMs(version: number): number {
    return this.#changedAtMs[version - 1] ?? Number.POSITIVE_INFINITY;
  }

  /**
   * Starts a leaf behind a proxy.
   *
   * @param service - Service of the leaf.
   * @param dataCentre - Data centre of the leaf.
   * @param options - ID of an earlier incarnation, a new ID by default; version and defects.
   */
  async addLeaf(
    service: string,
    dataCentre: DataCentreName,
    { leafId, build = FIRST_BUILD }: { readonly leafId?: string; readonly build?: LeafBuild } = {},
  ): Promise<void> {
    this.#leafCount += 1;
    const links: Array<LinkProxy> = [];
    const leaf = await this.fleet.addLeaf({
      leafId: leafId ?? `leaf-${this.#leafCount}`,
      born: this.#leafCount,
      service,
      dataCentre,
      ...build,
      recordCount: recordCountOf(service),
      crashOnPath: CRASHING_PATH_PART,
      startProxy: (port) => {
        const link = new LinkProxy(port);
        links.push(link);
        return link.open();
      },
    });
    const [link = new LinkProxy(0)] = links;
    const state = { drainingSinceMs: Number.POSITIVE_INFINITY, hasEnded: false };
    const entry = { service, dataCentre, build, leaf, link, linkFaults: [], ...state };
    this.leafs.push(entry);
    this.allLeafs.push(entry);
  }

  /**
   * Records that leafs have ended, so that faults no longer affect them.
   *
   * @param ended - The leafs.
   */
  endLeafs(ended: ReadonlyArray<RecordLeafStandin>): void {
    for (const each of this.allLeafs.filter(({ leaf }) => ended.includes(leaf))) {
      each.hasEnded = true;
      this.removeLeaf(each);
    }
  }

  /**
   * Drains leafs.
   *
   * @param drained - The leafs.
   */
  drainLeafs(drained: ReadonlyArray<RecordLeafStandin>): void {
    for (const each of this.leafs.filter(({ leaf }) => drained.includes(leaf))) {
      each.drainingSinceMs = performance.now();
      each.leaf.drain();
      this.removeLeaf(each);
    }
  }

  /**
   * Excludes a leaf from faults.
   *
   * @param removed - The leaf.
   */
  removeLeaf(removed: SoakLeaf): void {
    const index = this.leafs.indexOf(removed);
    if (index >= 0) {
      this.leafs.splice(index, 1);
    }
  }

  /** Stops all programs. */
  async stop(): Promise<void> {
    for (const { link } of this.allLeafs) {
      link.close();
    }
    for (const { storeLink } of this.boxes) {
      storeLink.close();
    }
    await this.fleet.stop();
    for (const { log } of this.boxes) {
      log.close();
    }
  }

  #writeConfiguration(): void {
    this.fleet.configure(soakConfiguration(this.version, { hasArchive: this.#hasArchive }));
  }

  async #addBox(dataCentre: DataCentreName, logReader: LogReader): Promise<void> {
    const storeLink = new LinkProxy(this.fleet.platform.port);
    const log = openBoxLog(logReader);
    const options = { storePort: await storeLink.open(), logFd: log.fd };
    const box = await this.fleet.addBox(dataCentre, options);
    this.boxes.push({
      box,
      storeLink,
      log,
      incarnation: 1,
      endedCount: 0,
      hasProcessFault: false,
      isStopping: false,
    });
  }
}
