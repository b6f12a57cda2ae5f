/**
 * Validation of the objects that operators submit.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { ControlState } from "../control/mod.js";
import {
  type ObjectKind,
  parseServiceConfig,
  parseShardMap,
  type ServiceConfig,
  type ShardMap,
} from "../model/mod.js";
import { compilePolicies } from "../policy/mod.js";
import { type HttpFault, httpFault } from "./http_io.js";

/** Name and content of an object that an operator submits. */
export interface NamedValue {
  readonly name: string;
  readonly data: unknown;
}

/**
 * Validates an object's content before it is submitted.
 *
 * @param state - Control state, which lists the leafs that a shard map may name.
 * @param kind - Kind of the object.
 * @param value - Name and content of the object.
 * @returns The parsed content, or the first fault with its field.
 */
export function checkValue(
  state: ControlState,
  kind: ObjectKind,
  { name, data }: NamedValue,
): Result<unknown, HttpFault> {
  return VALUE_CHECKS[kind](data, state).andThen((value) =>
    value.service === name
      ? ok(value)
      : err(httpFault(400, `Cannot accept the body: it is for "${value.service}"`, "service")),
  );
}

type ValueCheck = (
  data: unknown,
  state: ControlState,
) => Result<{ readonly service: string }, HttpFault>;

const VALUE_CHECKS: Readonly<Record<ObjectKind, ValueCheck>> = {
  service: (data) => checkService(data),
  shardmap: (data, state) => checkShardMap(data, state),
  boxlist: () => err(httpFault(405, "Cannot write the box list: it is the platform's")),
};

function checkService(data: unknown): Result<ServiceConfig, HttpFault> {
  return parseServiceConfig(data)
    .mapErr(({ message, field }) => httpFault(400, message, field))
    .andThen((config) =>
      compilePolicies(config.policies)
        .map(() => config)
        .mapErr(({ policy, line, column, message }) =>
          httpFault(400, `${message} (line ${line}, column ${column})`, `policies.${policy}`),
        ),
    );
}

function checkShardMap(data: unknown, { catalog }: ControlState): Result<ShardMap, HttpFault> {
  return parseShardMap(data)
    .mapErr(({ message, field }) => httpFault(400, message, field))
    .andThen((shardMap) => {
      const leafs = catalog.services.get(shardMap.service)?.leafs;
      const unknown = shardMap.snapshots
        .flatMap((each) => each.shards.flatMap((shard) => shard.leafIds))
        .find((leafId) => leafs !== undefined && !leafs.has(leafId));
      return unknown === undefined
        ? ok(shardMap)
        : err(
            httpFault(
              400,
              `Cannot accept the shard map: service "${shardMap.service}" has no leaf "${unknown}"`,
              "snapshots",
            ),
          );
    });
}
