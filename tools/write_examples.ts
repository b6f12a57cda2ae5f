/**
 * Writes the example configurations: the services of both users at their sizes, with policies.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import type { PolicySources, ServiceConfig } from "../model/mod.js";
import {
  leafIdsOf,
  SAMPLE_SHAPES,
  type ServiceShape,
  sampleConfig,
  sampleShardMap,
} from "../standins/mod.js";

const FIRST_PORT = 9_001;

const POLICIES: Readonly<Record<keyof typeof SAMPLE_SHAPES, PolicySources>> = {
  // Urgent queries of dispatchers finish early; those of traders include every offer.
  bidscope: {
    finish: "request.priority == 'urgent' ? 0.9 : 1.0",
    retry: "request.priority == 'urgent' ? 0 : 1",
  },
  curvelab: {
    finish: "request.priority == 'urgent' ? 0.9 : 1.0",
    refuse: "request.priority == 'low' && load.availableShare < 0.5 ? 'too few leafs are up' : ''",
  },
  "settle-desk": { retry: "request.repeatable ? 1 : 0" },
  aggrelink: { retry: "request.repeatable ? 1 : 0", limit: "20" },
  // Prefers nearby leafs, as officers need their answers within the deadline.
  "desk-api": { place: "'nearest'", retry: "1" },
  "merchant-portal": {
    place: "'nearest'",
    limit: "request.priority == 'low' ? 5 : 50",
  },
  "receipt-svc": { retry: "1", limit: "100" },
  "payout-ledger": {
    retry: "request.repeatable ? 1 : 0",
    refuse: "request.wantedCoverage < 1.0 ? 'a payout needs every shard' : ''",
  },
};

function addressOf(instance: number): string {
  return `10.1.${Math.floor(instance / 250)}.${(instance % 250) + 1}`;
}

function exampleOf(shape: ServiceShape, policies: PolicySources): ServiceConfig {
  const ports = Object.fromEntries(
    leafIdsOf(shape).map((leafId) => [leafId, FIRST_PORT + Number(leafId.split("-").at(-1)) - 1]),
  );
  const config = sampleConfig(shape, ports, { address: "10.1.0.1" });
  const backendServers = config.backendServers.map((server, instance) => {
    return { ...server, address: addressOf(instance) };
  });
  return { ...config, backendServers, policies };
}

for (const [name, policies] of Object.entries(POLICIES)) {
  const shape = SAMPLE_SHAPES[name as keyof typeof SAMPLE_SHAPES];
  const config = exampleOf(shape, policies);
  writeFileSync(`examples/${name}.service.json`, `${JSON.stringify(config, null, 2)}\n`);
  const shardMap = sampleShardMap(shape, "v1");
  writeFileSync(`examples/${name}.shardmap.json`, `${JSON.stringify(shardMap, null, 2)}\n`);
}
