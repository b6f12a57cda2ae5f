/**
 * The catalog of objects known to a daemon; an object is only replaced by a higher revision.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import { fnv1a } from "../hashing/mod.js";
import type {
  BoxList,
  CatalogObject,
  LeafSpec,
  ObjectKind,
  ServiceConfig,
  ShardMap,
} from "../model/mod.js";
import { compilePolicies, type Programs } from "../policy/mod.js";

/** A leaf with the address of its backend server. */
export interface Leaf extends LeafSpec {
  readonly service: string;
  readonly serverId: string;
  readonly box: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** A service indexed for queries. */
export interface ServiceEntry {
  readonly config: ServiceConfig;
  readonly revision: number;
  readonly programs: Programs;
  readonly leafs: ReadonlyMap<string, Leaf>;
  /** Total number of slots of all leafs. */
  readonly slotCount: number;
}

/** All objects known to a daemon. */
export interface Catalog {
  readonly objects: ImmutableMap<string, CatalogObject>;
  /** Hash of all revisions, for comparing the catalogs of two daemons. */
  readonly hash: number;
  readonly services: ImmutableMap<string, ServiceEntry>;
  readonly shardMaps: ImmutableMap<string, ShardMap>;
  readonly boxList: BoxList;
}

/** An empty catalog. */
export const EMPTY_CATALOG: Catalog = {
  objects: ImmutableMap(),
  hash: 0,
  services: ImmutableMap(),
  shardMaps: ImmutableMap(),
  boxList: { version: 0, boxes: [] },
};

/**
 * Returns the key of an object, unique among all kinds.
 *
 * @param kind - Kind of the object.
 * @param name - Name of the object.
 * @returns The key.
 */
export function objectKey(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`;
}

/**
 * Applies objects to a catalog. Objects that are not newer than the stored copy are ignored, so
 * revisions never decrease.
 *
 * @param catalog - The catalog.
 * @param objects - Validated objects from the platform, a peer or a submission.
 * @returns The updated catalog, and the objects that were newer.
 */
export function applyObjects(
  catalog: Catalog,
  objects: ReadonlyArray<CatalogObject>,
): { readonly catalog: Catalog; readonly adopted: ReadonlyArray<CatalogObject> } {
  const adopted: Array<CatalogObject> = [];
  let next = catalog;
  for (const object of objects) {
    const current = next.objects.get(objectKey(object.kind, object.name));
    if (current === undefined || object.revision > current.revision) {
      next = applyOne(next, object, current);
      adopted.push(object);
    }
  }
  return { catalog: next, adopted };
}

function applyOne(
  catalog: Catalog,
  object: CatalogObject,
  current: CatalogObject | undefined,
): Catalog {
  const key = objectKey(object.kind, object.name);
  const currentHash = current === undefined ? 0 : revisionHash(key, current.revision);
  const stored: Catalog = {
    ...catalog,
    objects: catalog.objects.set(key, object),
    hash: (catalog.hash ^ currentHash ^ revisionHash(key, object.revision)) >>> 0,
  };
  return INDEXERS[object.kind](stored, object);
}

function revisionHash(key: string, revision: number): number {
  return fnv1a(`${key}@${revision}`);
}

const INDEXERS: Readonly<Record<ObjectKind, (catalog: Catalog, object: CatalogObject) => Catalog>> =
  {
    service: indexService,
    shardmap: indexShardMap,
    boxlist: (catalog, object) => ({ ...catalog, boxList: object.value as BoxList }),
  };

function indexService(catalog: Catalog, object: CatalogObject): Catalog {
  if (object.deleted) {
    return { ...catalog, services: catalog.services.delete(object.name) };
  }
  const config = object.value as ServiceConfig;
  // Policies that this version cannot compile are treated as absent, so the safe defaults apply.
  const programs = compilePolicies(config.policies).unwrapOr({});
  const leafs = leafsOf(config);
  const slotCount = [...leafs.values()].reduce((sum, leaf) => sum + leaf.slots, 0);
  const entry = { config, revision: object.revision, programs, leafs, slotCount };
  return { ...catalog, services: catalog.services.set(object.name, entry) };
}

function indexShardMap(catalog: Catalog, object: CatalogObject): Catalog {
  const shardMaps = object.deleted
    ? catalog.shardMaps.delete(object.name)
    : catalog.shardMaps.set(object.name, object.value as ShardMap);
  return { ...catalog, shardMaps };
}

function leafsOf(config: ServiceConfig): ReadonlyMap<string, Leaf> {
  const leafs = config.backendServers.flatMap((server) =>
    server.leafs.map((leaf) => ({
      ...leaf,
      service: config.service,
      serverId: server.serverId,
      box: server.box,
      address: server.address,
      dataCentre: server.dataCentre,
    })),
  );
  return new Map(leafs.map((leaf) => [leaf.leafId, leaf]));
}
