/**
 * The configuration of a fault soak: its routes and services.
 *
 * @module
 */
import { type OperatorConfiguration, toOperatorConfiguration } from "../platform/standin/mod.js";

/** Shards of the gathered routes. */
export const SHARDS: ReadonlyArray<string> = ["shard-1", "shard-2", "shard-3", "shard-4"];

/** Service of the route whose requests are not repeatable. */
export const LEDGER = "ledger";

/**
 * Service whose answers exceed what the buffers of a connection hold, in bytes, and the prefix of
 * its route. Only some soaks have it.
 */
export const ARCHIVE = { service: "archive", prefix: "/archive/", answerBytes: 4_194_304 } as const;

/** Host of all routes. */
export const HOST = "h.example";

/** Route with a single allowed region, and the data centre in that region. */
export const REGIONAL_ROUTE = { prefix: "/home/", region: "south", dataCentre: "hall-b" } as const;

/** Prefix of the routes that versions of the configuration add. */
export const VERSION_PREFIX = "/version-";

/** Number of records in a leaf's response, and in a gathered response. */
export const RECORDS = { perLeaf: 8, top: 5 } as const;

/** Size of a record, in bytes. */
export const RECORD_BYTES = 16;

/** Minimum share of the shards in a gathered response. */
const MIN_COVERAGE = 0.5;

const ARCHIVE_ROUTE = {
  ...{ host: HOST, name: ARCHIVE.service, prefix: ARCHIVE.prefix },
  ...{ repeatable: true, service: ARCHIVE.service },
} as const;

/**
 * Builds a version of the configuration. Each has one more route than the version before.
 *
 * @param version - The version, from 1.
 * @param options - Whether it has the route of the archive; not by default.
 * @returns The configuration in the operator's format.
 */
export function soakConfiguration(
  version: number,
  { hasArchive = false }: { readonly hasArchive?: boolean } = {},
): OperatorConfiguration {
  const single = { host: HOST, service: LEDGER };
  const gather = { shards: SHARDS, topRecords: RECORDS.top, leastShare: MIN_COVERAGE };
  const added = Array.from({ length: version }, (_, index) => {
    const prefix = `${VERSION_PREFIX}${index + 1}/`;
    return { ...single, name: `version-${index + 1}`, prefix, repeatable: true };
  });
  return toOperatorConfiguration({
    version,
    routes: [
      { host: HOST, name: "sweep", prefix: "/sweep/", repeatable: true, gather },
      {
        ...{ host: HOST, name: "home", prefix: REGIONAL_ROUTE.prefix, repeatable: true, gather },
        homes: [REGIONAL_ROUTE.region],
      },
      { ...single, name: LEDGER, prefix: `/${LEDGER}/`, repeatable: false },
      ...(hasArchive ? [ARCHIVE_ROUTE] : []),
      ...added,
    ],
    services: [...SHARDS, LEDGER, ...(hasArchive ? [ARCHIVE.service] : [])],
  });
}

/**
 * Returns the number of records in an answer of a leaf.
 *
 * @param service - Service of the leaf.
 * @returns The number of records.
 */
export function recordCountOf(service: string): number {
  return service === ARCHIVE.service ? ARCHIVE.answerBytes / RECORD_BYTES : RECORDS.perLeaf;
}

/**
 * Returns the services that a request goes to.
 *
 * @param path - Path of the request.
 * @returns One service, or the shards.
 */
export function servicesOfPath(path: string): ReadonlyArray<string> {
  if (path.startsWith("/sweep/") || path.startsWith(REGIONAL_ROUTE.prefix)) {
    return SHARDS;
  }
  return [path.startsWith(ARCHIVE.prefix) ? ARCHIVE.service : LEDGER];
}
