/**
 * Sample services, with their shard maps, leaf stand-ins and configurations.
 *
 * @module
 */
import type { BackendServerSpec, ServiceConfig, ShardMap } from "../model/mod.js";
import type { LeafStandinOptions } from "./leaf_standin.js";

/** Shape of a service. */
export interface ServiceShape {
  readonly service: string;
  readonly instances: number;
  readonly leafsPerInstance: number;
  readonly slots: number;
  readonly maxConnections: number;
  readonly connectCostMs: number;
  readonly serviceTimeMs: number;
  /** Number of leafs that serve each shard. */
  readonly replicas: number;
  /** Data centres that the instances are assigned to, in turn. */
  readonly dataCentres: ReadonlyArray<string>;
  readonly extraLoadShare: number;
  readonly rowsPerShard: number;
}

const KINGSTON_HALLS = ["kingston", "montego-bay", "mandeville"] as const;
const BRUSSELS_HALLS = ["brussels", "amsterdam", "frankfurt"] as const;

/** Shape shared by the large services. */
const LARGE = {
  leafsPerInstance: 2,
  slots: 2,
  maxConnections: 25,
  connectCostMs: 6,
  serviceTimeMs: 5,
  replicas: 2,
  extraLoadShare: 0.1,
  rowsPerShard: 5,
} as const;

/** Shape shared by the small ledgers. */
const LEDGER = {
  leafsPerInstance: 1,
  slots: 4,
  connectCostMs: 1,
  serviceTimeMs: 3,
  replicas: 2,
  extraLoadShare: 0.02,
  rowsPerShard: 5,
} as const;

/** Shapes of the sample services, by name. */
export const SAMPLE_SHAPES = {
  bidscope: { ...LARGE, service: "bidscope", instances: 20, dataCentres: KINGSTON_HALLS },
  curvelab: { ...LARGE, service: "curvelab", instances: 30, dataCentres: KINGSTON_HALLS },
  "settle-desk": {
    ...LEDGER,
    service: "settle-desk",
    instances: 5,
    maxConnections: 100,
    dataCentres: KINGSTON_HALLS,
  },
  aggrelink: {
    ...LEDGER,
    service: "aggrelink",
    instances: 3,
    maxConnections: 100,
    dataCentres: KINGSTON_HALLS,
  },
  "desk-api": { ...LARGE, service: "desk-api", instances: 20, dataCentres: BRUSSELS_HALLS },
  "merchant-portal": {
    ...LARGE,
    service: "merchant-portal",
    instances: 30,
    dataCentres: BRUSSELS_HALLS,
  },
  "receipt-svc": {
    ...LEDGER,
    service: "receipt-svc",
    instances: 3,
    maxConnections: 40,
    dataCentres: BRUSSELS_HALLS,
  },
  "payout-ledger": {
    ...LEDGER,
    service: "payout-ledger",
    instances: 3,
    maxConnections: 40,
    dataCentres: BRUSSELS_HALLS,
  },
} as const satisfies Readonly<Record<string, ServiceShape>>;

/**
 * Returns the leaf ids of a service; adjacent ids belong to different instances.
 *
 * @param shape - Shape of the service.
 * @returns Leaf ids.
 */
export function leafIdsOf(shape: ServiceShape): ReadonlyArray<string> {
  return Array.from({ length: shape.leafsPerInstance }, (_, leaf) =>
    Array.from({ length: shape.instances }, (_, instance) => leafIdOf(shape, instance, leaf)),
  ).flat();
}

function leafIdOf({ service }: ServiceShape, instance: number, leaf: number): string {
  return `${service}-${String(instance + 1).padStart(2, "0")}-${leaf + 1}`;
}

/**
 * Creates a shard map in which each leaf serves one shard and replicas of the shards of preceding leafs.
 *
 * @param shape - Shape of the service.
 * @param snapshot - Name of the snapshot.
 * @returns The shard map.
 */
export function sampleShardMap(shape: ServiceShape, snapshot: string): ShardMap {
  const leafIds = leafIdsOf(shape);
  const shards = leafIds.map((_, index) => ({
    shard: `s${String(index + 1).padStart(2, "0")}`,
    leafIds: Array.from({ length: shape.replicas }, (_, replica) => {
      return leafIds[(index + replica) % leafIds.length] ?? "";
    }),
  }));
  return {
    service: shape.service,
    currentSnapshot: snapshot,
    snapshots: [{ snapshot, shards }],
  };
}

/**
 * Creates the options of the leaf stand-ins of a service.
 *
 * @param shape - Shape of the service.
 * @param shardMap - Shard map of the service.
 * @param options - Address to listen on, and the seed of the random durations.
 * @returns Options of each leaf.
 */
export function sampleLeafs(
  shape: ServiceShape,
  shardMap: ShardMap,
  { address, seed }: { readonly address: string; readonly seed: number },
): ReadonlyArray<LeafStandinOptions> {
  return leafIdsOf(shape).map((leafId) => ({
    service: shape.service,
    leafId,
    address,
    port: 0,
    slots: shape.slots,
    maxConnections: shape.maxConnections,
    connectCostMs: shape.connectCostMs,
    serviceTimeMs: shape.serviceTimeMs,
    stragglers: { share: 0, factor: 1 },
    holdings: shardsOfLeaf(shardMap, leafId),
    rowsPerShard: shape.rowsPerShard,
    seed,
    state: "ready",
    reportedState: undefined,
    misbehaviour: "none",
  }));
}

/**
 * Returns the shards that a shard map assigns to a leaf.
 *
 * @param shardMap - Shard map.
 * @param leafId - Id of the leaf.
 * @returns Shards by snapshot.
 */
export function shardsOfLeaf(
  shardMap: ShardMap,
  leafId: string,
): Readonly<Record<string, ReadonlyArray<string>>> {
  return Object.fromEntries(
    shardMap.snapshots.map(({ snapshot, shards }) => [
      snapshot,
      shards.filter((each) => each.leafIds.includes(leafId)).map((each) => each.shard),
    ]),
  );
}

/**
 * Creates the configuration of a service whose leafs listen on the given ports.
 *
 * @param shape - Shape of the service.
 * @param ports - Port of each leaf, by leaf id.
 * @param options - Address of the leafs.
 * @returns The configuration.
 */
export function sampleConfig(
  shape: ServiceShape,
  ports: Readonly<Record<string, number>>,
  { address }: { readonly address: string },
): ServiceConfig {
  const backendServers = Array.from({ length: shape.instances }, (_, instance) => {
    return sampleServer(shape, instance, { ports, address });
  });
  return {
    service: shape.service,
    backendServers,
    policies: {},
    limits: { requestsPerSecond: 0, burstRequests: 100, extraLoadShare: shape.extraLoadShare },
  };
}

interface SampleServerOptions {
  readonly ports: Readonly<Record<string, number>>;
  readonly address: string;
}

function sampleServer(
  shape: ServiceShape,
  instance: number,
  { ports, address }: SampleServerOptions,
): BackendServerSpec {
  const name = `${shape.service}-${String(instance + 1).padStart(2, "0")}`;
  return {
    serverId: name,
    box: `box-${name}`,
    address,
    dataCentre: shape.dataCentres[instance % shape.dataCentres.length] ?? "",
    leafs: Array.from({ length: shape.leafsPerInstance }, (_, leaf) => {
      const leafId = leafIdOf(shape, instance, leaf);
      const { slots, maxConnections } = shape;
      return { leafId, port: ports[leafId] ?? 1, slots, maxConnections };
    }),
  };
}
