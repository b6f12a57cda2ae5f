/**
 * Services of a run: their leafs, their snapshots, and the submissions of operators.
 *
 * @module
 */
import { type SubmitOutcome, submitObject } from "../catalog/mod.js";
import type { ObjectKind, ServiceConfig, ShardMap, SnapshotSpec } from "../model/mod.js";
import { FakeLeaf } from "./fake_leaf.js";
import type { SoakSimulation } from "./soak_simulation.js";

/** Service whose queries are repeatable. */
export const REPEATABLE_SERVICE = "wide";

/** Service whose queries are not repeatable. */
export const NON_REPEATABLE_SERVICE = "ledger";

/** Limit of the repeatable service over all boxes. */
export const REPEATABLE_SERVICE_LIMIT = { requestsPerSecond: 60, burstRequests: 30 } as const;

const LEAF_COUNTS: Readonly<Record<string, number>> = {
  [REPEATABLE_SERVICE]: 9,
  [NON_REPEATABLE_SERVICE]: 3,
};

/** Services of a simulation, with all snapshots that were published. */
export class SoakServices {
  readonly #simulation: SoakSimulation;
  /** Shards of each snapshot, by service and snapshot. */
  readonly snapshots = new Map<string, ReadonlyArray<string>>();
  /** Submissions that were reported as accepted, by object key. */
  readonly acceptedSubmissions = new Map<string, Array<{ readonly revision: number }>>();
  /** Number of submissions in flight. */
  pendingSubmissions = 0;
  readonly #shardMaps = new Map<string, ShardMap>();
  #generation = 0;

  /**
   * @param simulation - The simulation.
   */
  constructor(simulation: SoakSimulation) {
    this.#simulation = simulation;
  }

  /** Creates all leafs and submits the initial configurations and shard maps. */
  start(): void {
    for (const [service, count] of Object.entries(LEAF_COUNTS)) {
      for (let index = 0; index < count; index++) {
        const leafId = `${service}-${index}`;
        const { schedule, runs } = this.#simulation;
        this.#simulation.leafs.set(leafId, new FakeLeaf(leafId, { slots: 2, schedule, runs }));
      }
      this.submit("service", service, this.#config(service, 0));
      this.repartition(service);
    }
  }

  #config(service: string, variant: number): ServiceConfig {
    const centres = ["dc-1", "dc-2", "dc-3"];
    const retries = variant % 2 === 0 ? "1" : "2";
    return {
      service,
      backendServers: Array.from({ length: LEAF_COUNTS[service] ?? 0 }, (_, index) => ({
        serverId: `${service}-server-${index}`,
        box: `${service}-box-${index}`,
        address: "127.0.0.1",
        dataCentre: centres[index % centres.length] ?? "dc-1",
        leafs: [{ leafId: `${service}-${index}`, port: 1, slots: 2, maxConnections: 25 }],
      })),
      policies: { retry: retries },
      limits:
        service === REPEATABLE_SERVICE
          ? { ...REPEATABLE_SERVICE_LIMIT, extraLoadShare: 0.1 }
          : { requestsPerSecond: 0, burstRequests: 100, extraLoadShare: 0.02 },
    };
  }

  /**
   * Publishes a snapshot with a random number of shards. Leafs serve it and the previous snapshot;
   * older snapshots are removed immediately, also under queries in flight.
   *
   * @param service - Name of the service.
   */
  repartition(service: string): void {
    this.#generation += 1;
    const snapshot = `v${this.#generation}`;
    const leafIds = [...this.#simulation.leafs.keys()].filter((each) => each.startsWith(service));
    const shardCount = this.#simulation.schedule.int(4, 9);
    const shards = Array.from({ length: shardCount }, (_, index) => ({
      shard: `${snapshot}-s${index}`,
      leafIds: [0, 1].map((replica) => leafIds[(index + replica * 2) % leafIds.length] ?? ""),
    }));
    const spec: SnapshotSpec = { snapshot, shards };
    this.snapshots.set(
      `${service} ${snapshot}`,
      shards.map((each) => each.shard),
    );
    const previous = this.#shardMaps.get(service)?.snapshots ?? [];
    const shardMap: ShardMap = {
      service,
      currentSnapshot: snapshot,
      snapshots: [...previous.slice(-1), spec],
    };
    this.#shardMaps.set(service, shardMap);
    for (const leafId of leafIds) {
      const leaf = this.#simulation.leafs.get(leafId);
      if (leaf !== undefined) {
        leaf.shardsBySnapshot = shardsBySnapshotOf(shardMap, leafId);
      }
    }
    this.submit("shardmap", service, shardMap);
  }

  /**
   * Submits several changes of a service's configuration at the same time.
   *
   * @param service - Name of the service.
   * @param operators - Number of operators.
   */
  submitConcurrently(service: string, operators: number): void {
    for (let operator = 0; operator < operators; operator++) {
      this.submit("service", service, this.#config(service, this.#simulation.schedule.int(0, 9)));
    }
  }

  /**
   * Submits an object through the entry of a random box.
   *
   * @param kind - Kind of the object.
   * @param name - Name of the object.
   * @param value - Value of the object.
   */
  submit(kind: ObjectKind, name: string, value: unknown): void {
    const simulation = this.#simulation;
    const alive = simulation.boxes.filter(({ entry }) => entry.isAlive && !entry.isPaused);
    if (alive.length === 0) {
      return;
    }
    const { entry } = simulation.schedule.pick(alive);
    const key = `${kind}/${name}`;
    const knownRevision = entry.state.control.catalog.objects.get(key)?.revision ?? 0;
    const submissionId = `s${simulation.schedule.int(0, 1e9)}`;
    this.pendingSubmissions += 1;
    void submitObject(
      simulation.platform.port(),
      {
        kind,
        name,
        value,
        deleted: false,
        submissionId,
        author: submissionId,
        baseRevision: kind === "shardmap" ? this.#platformRevision(key) : knownRevision,
        submittedAtEpochMs: 0,
      },
      { knownRevision, pause: () => this.#pause(300) },
    ).then((outcome) => {
      this.pendingSubmissions -= 1;
      this.#handleOutcome(key, outcome, { kind, name, value });
      if (outcome.kind === "accepted") {
        const { object } = outcome;
        entry.deliver((nowMs) => ({ kind: "objectAccepted", nowMs, object }));
      }
    });
  }

  #platformRevision(key: string): number {
    const stored = this.#simulation.platform.history.findLast((each) => each.key === key);
    return stored?.object.revision ?? 0;
  }

  #pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.#simulation.schedule.after(delayMs, resolve));
  }

  #handleOutcome(
    key: string,
    outcome: SubmitOutcome,
    {
      kind,
      name,
      value,
    }: { readonly kind: ObjectKind; readonly name: string; readonly value: unknown },
  ): void {
    this.#simulation.countEvent(`submission ${outcome.kind}`);
    if (outcome.kind === "accepted") {
      const earlier = this.acceptedSubmissions.get(key) ?? [];
      this.acceptedSubmissions.set(key, [...earlier, { revision: outcome.revision }]);
    } else if (kind === "shardmap") {
      // The publisher of a snapshot retries until it is accepted or replaced.
      this.#simulation.schedule.after(500, () => {
        if (this.#shardMaps.get(name) === value) {
          this.submit(kind, name, value);
        }
      });
    }
  }
}

function shardsBySnapshotOf(
  shardMap: ShardMap,
  leafId: string,
): ReadonlyMap<string, ReadonlySet<string>> {
  return new Map(
    shardMap.snapshots.map(({ snapshot, shards }) => [
      snapshot,
      new Set(shards.filter((each) => each.leafIds.includes(leafId)).map((each) => each.shard)),
    ]),
  );
}
