/**
 * The catalog: the objects a daemon knows, each only ever replaced by a higher revision.
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

/** A service as the decisions use it. */
export interface ServiceEntry {
  readonly config: ServiceConfig;
  readonly revision: number;
  readonly programs: Programs;
  readonly leafs: ReadonlyMap<string, Leaf>;
  /** Slots of all leafs together. */
  readonly slotCount: number;
}

/** All objects that a daemon knows. */
export interface Catalog {
  readonly objects: ImmutableMap<string, CatalogObject>;
  /** The same number on two daemons exactly when they hold the same revisions, but for chance. */
  readonly hash: number;
  readonly services: ImmutableMap<string, ServiceEntry>;
  readonly shardMaps: ImmutableMap<string, ShardMap>;
  readonly boxList: BoxList;
}

/** A catalog without objects. */
export const EMPTY_CATALOG: Catalog = {
  objects: ImmutableMap(),
  hash: 0,
  services: ImmutableMap(),
  shardMaps: ImmutableMap(),
  boxList: { version: 0, boxes: [] },
};

/**
 * Names an object among all kinds.
 *
 * @param kind - Kind of the object.
 * @param name - Its name.
 * @returns The key.
 */
export function objectKey(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`;
}

/**
 * Takes in objects; those that are not newer than the copy held are passed over, so that nothing
 * ever goes back.
 *
 * @param catalog - The catalog so far.
 * @param objects - Objects from the platform, a peer or a submission, already checked.
 * @returns The catalog after that, and the objects that were newer.
 */
export function applyObjects(
  catalog: Catalog,
  objects: ReadonlyArray<CatalogObject>,
): { readonly catalog: Catalog; readonly adopted: ReadonlyArray<CatalogObject> } {
  const adopted: Array<CatalogObject> = [];
  let next = catalog;
  for (const object of objects) {
    const held = next.objects.get(objectKey(object.kind, object.name));
    if (held === undefined || object.revision > held.revision) {
      next = adoptOne(next, object, held);
      adopted.push(object);
    }
  }
  return { catalog: next, adopted };
}

function adoptOne(
  catalog: Catalog,
  object: CatalogObject,
  held: CatalogObject | undefined,
): Catalog {
  const key = objectKey(object.kind, object.name);
  const withoutHeld = held === undefined ? 0 : revisionHash(key, held.revision);
  const stored: Catalog = {
    ...catalog,
    objects: catalog.objects.set(key, object),
    hash: (catalog.hash ^ withoutHeld ^ revisionHash(key, object.revision)) >>> 0,
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
  // A program that this version cannot compile counts as absent: the safe defaults hold.
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
