/**
 * Turns the model's types into messages and back; what does not fit is passed over.
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

const STATES: ReadonlySet<string> = new Set(["joining", "alive", "suspect", "leaving", "dead"]);
const ROLES: ReadonlySet<string> = new Set(["entry", "pool"]);

/**
 * Writes an exchange as a message.
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
 * Reads an exchange from a message.
 *
 * @param message - The message.
 * @returns The exchange, or nothing where the sender does not say who it is.
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
  const named = memberId !== "" && incarnation !== "" && message.address !== "";
  if (!named || !STATES.has(state) || !ROLES.has(role) || peerPort > 65_535) {
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
 * Reads catalog objects; one that does not fit the model is passed over.
 *
 * @param objectsJson - Objects as JSON.
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
 * Writes calls as a message.
 *
 * @param entryId - Entry they come from.
 * @param calls - The calls.
 * @param cancelledCallIds - Earlier calls that are taken back.
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
 * Reads a call from its message.
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
 * Writes results and reports as a message.
 *
 * @param results - What became of calls.
 * @param reports - How leafs are.
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
 * Reads a result; a kind not known counts as failed, since it cannot be told what ran.
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
 * Reads a leaf's report.
 *
 * @param message - The message.
 * @returns The report.
 */
export function decodeReport(message: LeafReportMessage): LeafReport {
  const { service, leafId, waitMs, serviceTimeMs, available } = message;
  return { service, leafId, waitMs, serviceTimeMs, available };
}
