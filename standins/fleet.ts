/**
 * A complete fleet as separate processes: stand-ins, entries and pools.
 *
 * @module
 */
import type { ServiceConfig, ShardMap } from "../model/mod.js";
import type { PlatformFaults } from "../platform/standin/mod.js";
import { daemonArgs, LOOPBACK } from "./_daemon_args.js";
import { getJson, postJson, putJson } from "./json_http.js";
import type { LeafStandinOptions } from "./leaf_standin.js";
import { type FleetProcess, startProcess } from "./processes.js";
import { type ServiceShape, sampleConfig, sampleLeafs, sampleShardMap } from "./sample_services.js";
import { waitUntil } from "./waiting.js";

export { LOOPBACK } from "./_daemon_args.js";

/** A box with its two daemons. */
export interface FleetBox {
  readonly box: string;
  readonly dataCentre: string;
  readonly entry: FleetProcess;
  readonly pool: FleetProcess;
}

/** Options of a {@linkcode Fleet}. */
export interface FleetOptions {
  readonly boxes: number;
  readonly dataCentres: ReadonlyArray<string>;
  readonly seed: number;
  /** Time for which callers may cache the address list, in milliseconds; default 5000. */
  readonly adviceKeepMs?: number;
  readonly logLevel?: string;
  /** Processes that the leafs of a service are distributed over; default 1. */
  readonly backendProcesses?: number;
}

/** A complete fleet: platform, backend servers and boxes. */
export class Fleet {
  readonly platform: FleetProcess;
  readonly backends: ReadonlyArray<FleetProcess>;
  readonly boxes: Array<FleetBox> = [];
  readonly #options: FleetOptions;
  #backendBoxes: ReadonlyArray<{ readonly box: string; readonly dataCentre: string }> = [];
  readonly #leaving = new Set<string>();

  private constructor(
    platform: FleetProcess,
    backends: ReadonlyArray<FleetProcess>,
    options: FleetOptions,
  ) {
    this.platform = platform;
    this.backends = backends;
    this.#options = options;
  }

  /**
   * Starts the stand-ins and the boxes, and waits until every entry is ready.
   *
   * @param options - Number and data centres of the boxes, and the seed.
   * @returns The fleet.
   */
  static async start(options: FleetOptions): Promise<Fleet> {
    const platform = await startProcess("standins/platform_main.js", []);
    const backends = await Promise.all(
      Array.from({ length: options.backendProcesses ?? 1 }, () =>
        startProcess("standins/backend_main.js", []),
      ),
    );
    const fleet = new Fleet(platform, backends, options);
    for (let index = 0; index < options.boxes; index++) {
      const dataCentre = options.dataCentres[index % options.dataCentres.length] ?? "here";
      fleet.boxes.push(await fleet.#startBox(`box-${index + 1}`, dataCentre));
    }
    await fleet.#publishBoxes();
    await fleet.waitUntilReady();
    return fleet;
  }

  async #startBox(box: string, dataCentre: string): Promise<FleetBox> {
    const { adviceKeepMs = 5_000, logLevel = "info" } = this.#options;
    const platformUrl = `http://${LOOPBACK}:${this.platform.ports.port}`;
    const seeds = this.boxes.map((each) => `${LOOPBACK}:${each.entry.ports.peerPort}`);
    const args = daemonArgs({ box, dataCentre, platformUrl, seeds, adviceKeepMs, logLevel });
    const [entry, pool] = await Promise.all([
      startProcess("bin/rackvale_entry.js", [...args, "--caller-port", "0"]),
      startProcess("bin/rackvale_pool.js", args),
    ]);
    return { box, dataCentre, entry, pool };
  }

  /**
   * Starts a box; it replaces a box of the same name.
   *
   * @param box - Name of the box.
   * @param dataCentre - Data centre of the box.
   * @returns The box.
   */
  async addBox(box: string, dataCentre: string): Promise<FleetBox> {
    const added = await this.#startBox(box, dataCentre);
    const index = this.boxes.findIndex((each) => each.box === box);
    this.boxes.splice(index < 0 ? this.boxes.length : index, index < 0 ? 0 : 1, added);
    await this.#publishBoxes();
    return added;
  }

  async #publishBoxes(): Promise<void> {
    const rackvaleBoxes = this.boxes.map(({ box, dataCentre, entry, pool }) => ({
      box,
      dataCentre,
      address: LOOPBACK,
      leaving: this.#leaving.has(box),
      entryPeerPort: entry.ports.peerPort,
      poolPeerPort: pool.ports.peerPort,
    }));
    const backendBoxes = this.#backendBoxes.map(({ box, dataCentre }) => {
      return { box, dataCentre, address: LOOPBACK, leaving: this.#leaving.has(box) };
    });
    await this.callAdmin(this.platform, "/admin/boxes", [...rackvaleBoxes, ...backendBoxes]);
  }

  /**
   * Marks a box as leaving in the platform's box list.
   *
   * @param box - Name of the box.
   */
  async markLeaving(box: string): Promise<void> {
    this.#leaving.add(box);
    await this.#publishBoxes();
  }

  /** Waits until every entry is ready and has a stream to every pool. */
  async waitUntilReady(): Promise<void> {
    await waitUntil(async () => {
      const statuses = await Promise.all(
        this.boxes.map((box) => getJson(`${urlOf(box.entry)}/v1/status`)),
      );
      return statuses.every((status) => this.#isFullyConnected(status));
    }, "the boxes are ready");
  }

  #isFullyConnected(status: unknown): boolean {
    const { daemons } = status as {
      readonly daemons: ReadonlyArray<{
        readonly report?: { readonly phase?: string; readonly openPools?: ReadonlyArray<string> };
      }>;
    };
    const entryReport = daemons[0]?.report;
    return (
      daemons.length >= this.boxes.length * 2 &&
      daemons.every((daemon) => daemon.report?.phase === "ready") &&
      (entryReport?.openPools?.length ?? 0) >= this.boxes.length
    );
  }

  /**
   * Starts the leafs of a service, and submits its configuration and shard map.
   *
   * @param shape - Shape of the service.
   * @param change - Returns the configuration to submit in place of the generated one.
   * @returns The submitted configuration and shard map.
   */
  async addService(
    shape: ServiceShape,
    change: (config: ServiceConfig) => ServiceConfig = (config) => config,
  ): Promise<{ readonly config: ServiceConfig; readonly shardMap: ShardMap }> {
    const shardMap = sampleShardMap(shape, "v1");
    const ports = await this.startLeafs(
      sampleLeafs(shape, shardMap, { address: LOOPBACK, seed: this.#options.seed }),
    );
    const config = change(sampleConfig(shape, ports, { address: LOOPBACK }));
    this.#backendBoxes = [...this.#backendBoxes, ...config.backendServers];
    await this.#publishBoxes();
    await this.submit("services", shape.service, config);
    await this.submit("shardmaps", shape.service, shardMap);
    await this.waitUntilActive(`shardmap/${shape.service}`, 1);
    return { config, shardMap };
  }

  /**
   * Starts leafs, distributed over the backend processes.
   *
   * @param leafs - Options of each leaf.
   * @returns Port of each leaf, by leaf id.
   */
  async startLeafs(
    leafs: ReadonlyArray<LeafStandinOptions>,
  ): Promise<Readonly<Record<string, number>>> {
    const started = await Promise.all(
      this.backends.map((backend, index) => {
        const assigned = leafs.filter((_, leaf) => leaf % this.backends.length === index);
        return this.callAdmin(backend, "/admin/leafs", assigned);
      }),
    );
    return Object.assign({}, ...started) as Readonly<Record<string, number>>;
  }

  /**
   * Submits an object through the first box.
   *
   * @param collection - `services` or `shardmaps`.
   * @param name - Name of the object.
   * @param value - The object.
   * @returns Status and body of the response.
   */
  async submit(collection: string, name: string, value: unknown) {
    const [first] = this.boxes;
    if (first === undefined) {
      throw new Error("Cannot submit: there is no box");
    }
    return putJson(`${urlOf(first.entry)}/v1/${collection}/${name}`, value);
  }

  /**
   * Reads the value of an object in force through the first box.
   *
   * @param path - Collection and name of the object.
   * @returns The value.
   */
  async readObject(path: string): Promise<unknown> {
    const object = await getJson(`${urlOf(this.boxes[0]?.entry)}/v1/${path}`);
    return (object as { readonly value: unknown }).value;
  }

  /**
   * Waits until every reachable daemon uses at least the given revision of an object.
   *
   * @param key - Key of the object.
   * @param revision - Lowest accepted revision.
   */
  async waitUntilActive(key: string, revision: number): Promise<void> {
    await waitUntil(async () => {
      const status = (await getJson(`${urlOf(this.boxes[0]?.entry)}/v1/status`)) as {
        readonly daemons: ReadonlyArray<{
          readonly reached: boolean;
          readonly report?: { readonly revisions: Readonly<Record<string, number>> };
        }>;
      };
      return status.daemons
        .filter((daemon) => daemon.reached)
        .every((daemon) => (daemon.report?.revisions[key] ?? 0) >= revision);
    }, `${key} is in force`);
  }

  /**
   * Changes all leafs whose ids have a common prefix.
   *
   * @param prefix - Common prefix of the leaf ids.
   * @param options - Options to change.
   */
  async changeLeafs(prefix: string, options: Partial<LeafStandinOptions>): Promise<void> {
    await Promise.all(
      this.backends.map((backend) => this.callAdmin(backend, "/admin/change", { prefix, options })),
    );
  }

  /**
   * Sets faults of the platform stand-in.
   *
   * @param faults - Faults to change.
   */
  async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
    await this.callAdmin(this.platform, "/admin/faults", faults);
  }

  /**
   * Requests an admin path of every backend process.
   *
   * @param path - Path of the admin API.
   * @returns Response bodies, one for each backend process.
   */
  async queryBackends(path: string): Promise<ReadonlyArray<unknown>> {
    return Promise.all(this.backends.map((backend) => this.callAdmin(backend, path, {})));
  }

  /**
   * Calls the admin API of a stand-in.
   *
   * @param standin - Process of the stand-in.
   * @param path - Path of the admin API.
   * @param body - Request body.
   * @returns Body of the response.
   */
  async callAdmin(standin: FleetProcess, path: string, body: unknown): Promise<unknown> {
    const response = await postJson(`http://${LOOPBACK}:${standin.ports.port}${path}`, body);
    return response.body;
  }

  /** Kills all processes and waits until they have exited. */
  async stop(): Promise<void> {
    const all = [
      ...this.boxes.flatMap((box) => [box.entry, box.pool]),
      ...this.backends,
      this.platform,
    ];
    for (const each of all) {
      each.signal("SIGKILL");
    }
    await Promise.all(all.map((each) => each.exited));
  }
}

/**
 * Returns the URL at which an entry serves callers.
 *
 * @param entry - Process of the entry.
 * @returns Base URL.
 */
export function urlOf(entry: FleetProcess | undefined): string {
  return `http://${LOOPBACK}:${entry?.ports.callerPort}`;
}
