/**
 * Conversion between types of the model and Protobuf messages.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Exchange } from "../control/mod.js";
import type { CallResult, LeafCall, LeafReport } from "../entry/entry_messages.js";
import {
  type CatalogObject,
  type Member,
  type MemberState,
  type MissingReason,
  parseCatalogObject,
  type Role,
} from "../model/mod.js";
import {
  type Call,
  CallBatchSchema,
  type CallResult as CallResultMessage,
  CallResultSchema,
  CallSchema,
  type ExchangeMessage,
  ExchangeMessageSchema,
  type LeafReport as LeafReportMessage,
  LeafReportSchema,
  type Member as MemberMessage,
  MemberSchema,
  ResultBatchSchema,
} from "./gen/rackvale/peer/v1/peer_pb.js";

const MEMBER_STATES: ReadonlySet<string> = new Set([
  "joining",
  "alive",
  "suspect",
  "leaving",
  "dead",
]);
const MEMBER_ROLES: ReadonlySet<string> = new Set(["entry", "pool"]);

/**
 * Encodes an exchange.
 *
 * @param exchange - The exchange.
 * @returns The message.
 */
export function encodeExchange(exchange: Exchange): ExchangeMessage {
  return create(ExchangeMessageSchema, {
    self: encodeMember(exchange.self),
    members: exchange.members.map(encodeMember),
    catalogHash: exchange.catalogHash,
    revisions: exchange.revisions.map(({ key, revision }) => ({ key, revision })),
    confirmedAgoMs: exchange.confirmedAgoMs,
    joining: exchange.joining,
  });
}

/**
 * Decodes an exchange. Invalid members are skipped.
 *
 * @param message - The message.
 * @returns The exchange, or undefined if the member record of the sender is missing or invalid.
 */
export function decodeExchange(message: ExchangeMessage): Exchange | undefined {
  const self = message.self === undefined ? undefined : decodeMember(message.self);
  if (self === undefined) {
    return undefined;
  }
  return {
    self,
    members: message.members.flatMap((member) => decodeMember(member) ?? []),
    catalogHash: message.catalogHash,
    revisions: message.revisions.map(({ key, revision }) => ({ key, revision })),
    confirmedAgoMs: Math.max(0, message.confirmedAgoMs || 0),
    joining: message.joining,
  };
}

function encodeMember(member: Member): MemberMessage {
  return create(MemberSchema, member);
}

function decodeMember(message: MemberMessage): Member | undefined {
  const { memberId, incarnation, state, role, peerPort, callerPort } = message;
  const isIdentified = memberId !== "" && incarnation !== "" && message.address !== "";
  if (!isIdentified || !MEMBER_STATES.has(state) || !MEMBER_ROLES.has(role) || peerPort > 65_535) {
    return undefined;
  }
  return {
    memberId,
    incarnation,
    startedAtEpochMs: message.startedAtEpochMs,
    version: message.version,
    state: state as MemberState,
    role: role as Role,
    box: message.box,
    dataCentre: message.dataCentre,
    address: message.address,
    peerPort,
    callerPort,
  };
}

/**
 * Decodes catalog objects. Objects that are not valid JSON or do not match the schema are skipped.
 *
 * @param objectsJson - The objects as JSON.
 * @returns The objects.
 */
export function decodeObjects(objectsJson: ReadonlyArray<string>): ReadonlyArray<CatalogObject> {
  return objectsJson.flatMap((json) => {
    try {
      return parseCatalogObject(JSON.parse(json)).unwrapOr([] as never);
    } catch {
      return [];
    }
  });
}

/**
 * Encodes a batch of calls and cancellations.
 *
 * @param entryId - Id of the sending entry.
 * @param calls - The calls.
 * @param cancellations - Ids of earlier calls to cancel.
 * @returns The message.
 */
export function encodeCalls(
  entryId: string,
  calls: ReadonlyArray<LeafCall>,
  { cancelledCallIds }: { readonly cancelledCallIds: ReadonlyArray<string> },
) {
  return create(CallBatchSchema, {
    entryId,
    calls: calls.map((call) => create(CallSchema, call)),
    cancelledCallIds: [...cancelledCallIds],
  });
}

/**
 * Decodes a call.
 *
 * @param message - The message.
 * @returns The call.
 */
export function decodeCall(message: Call): LeafCall {
  const { callId, service, leafId, snapshot, shard, priorityRank, repeatable } = message;
  const { rights, bodyJson } = message;
  const remainingMs = Number.isFinite(message.remainingMs) ? message.remainingMs : 0;
  return {
    callId,
    service,
    leafId,
    snapshot,
    shard,
    remainingMs,
    priorityRank,
    repeatable,
    rights,
    bodyJson,
  };
}

/**
 * Encodes a batch of results and leaf reports.
 *
 * @param results - Results of calls.
 * @param reports - Reports of leafs.
 * @returns The message.
 */
export function encodeResults(
  results: ReadonlyArray<CallResult>,
  reports: ReadonlyArray<LeafReport>,
) {
  return create(ResultBatchSchema, {
    results: results.map((result) => create(CallResultSchema, result)),
    reports: reports.map((report) => create(LeafReportSchema, report)),
  });
}

const RESULT_DECODERS: Readonly<Record<string, (message: CallResultMessage) => CallResult>> = {
  answered: ({ callId, snapshot, shard, rowCount, rowsJson }) => ({
    kind: "answered",
    callId,
    snapshot,
    shard,
    rowCount,
    rowsJson,
  }),
  refused: ({ callId, reason, retryAfterMs }) => ({
    kind: "refused",
    callId,
    reason: reason as MissingReason,
    retryAfterMs,
  }),
};

/**
 * Decodes a result. An unknown kind is decoded as failed, since the call may have run.
 *
 * @param message - The message.
 * @returns The result.
 */
export function decodeResult(message: CallResultMessage): CallResult {
  const decoder = RESULT_DECODERS[message.kind];
  const reason = (message.reason || "leaf failed") as MissingReason;
  return decoder?.(message) ?? { kind: "failed", callId: message.callId, reason };
}

/**
 * Decodes the report of a leaf.
 *
 * @param message - The message.
 * @returns The report.
 */
export function decodeReport(message: LeafReportMessage): LeafReport {
  const { service, leafId, waitMs, serviceTimeMs, available } = message;
  return { service, leafId, waitMs, serviceTimeMs, available };
}
