/**
 * Datagrams that boxes exchange: known members, and the versions of stored data that the sender
 * has. They are deflated lists without field names, to save traffic between regions.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { EvacuationUpdate, FleetSize, Member } from "../model/mod.js";
import type { CrashStatus, ReportedCrashes } from "../quarantine/mod.js";
import {
  type CrashFields,
  type FleetMessageKind,
  type FleetSizeFields,
  isMessageFields,
  type MemberFields,
  type OrderFields,
} from "./_fleet_message_fields.js";
import { fromRolloutFields, toRolloutFields } from "./_rollout_fields.js";
import type { RolloutMessage } from "./rollout_messages.js";

/** Versions of the stored data that a box has applied. */
export interface SyncProgress {
  /** Version of the active configuration; 0 before the first. */
  readonly configurationVersion: number;
  /** Store revision up to which the leafs' entries are applied; 0 before the first list. */
  readonly leafsRevision: number;
}

export type { FleetMessageKind };

/** One datagram. */
export interface FleetMessage {
  readonly kind: FleetMessageKind;
  /** Number of the request, by which an answer is matched to it. */
  readonly number: number;
  readonly progress: SyncProgress;
  /** The sender, followed by other members that it reports. */
  readonly members: ReadonlyArray<Member>;
  /** Crash-inducing queries. */
  readonly crashes: ReadonlyArray<ReportedCrashes>;
  /** Evacuated data centres; `undefined` if none was ever evacuated. */
  readonly evacuations?: EvacuationUpdate | undefined;
  /** Size of the fleet; `undefined` while the sender does not know it. */
  readonly fleetSize?: FleetSize | undefined;
  /** What is known about rollouts; `undefined` if they are disabled. */
  readonly rollouts?: RolloutMessage | undefined;
}

/** Maximum size of an inflated datagram, in bytes. */
const MAX_MESSAGE_BYTES = 65_536;

/**
 * Small buffers: a datagram fits into a window of 4 KB, and the default memory per call is far
 * larger.
 */
const DEFLATE = { windowBits: 12, memLevel: 4, chunkSize: 4_096, level: 1 } as const;

const INFLATE = { windowBits: 12, chunkSize: 4_096, maxOutputLength: MAX_MESSAGE_BYTES } as const;

/** Stands for no evacuations in a datagram with rollouts or with a later value. */
const NO_EVACUATIONS: EvacuationUpdate = { position: 0, dataCentres: [] };

/** Part of a message whose length depends on what others have stored. */
interface OmittablePart {
  /** Returns the content of the part; `undefined` if the message has none. */
  readonly contentOf: (message: FleetMessage) => unknown;
  readonly without: (message: FleetMessage) => FleetMessage;
}

/** Other boxes consider a box dead unless they receive its remaining values. */
const OMITTABLE_PARTS: ReadonlyArray<OmittablePart> = [
  {
    contentOf: ({ crashes }) => crashes,
    without: (message) => ({ ...message, crashes: [] }),
  },
  {
    contentOf: ({ evacuations }) => evacuations,
    without: (message) => ({ ...message, evacuations: undefined }),
  },
  {
    contentOf: ({ rollouts }) => rollouts?.rollouts,
    without: ({ rollouts, ...message }) => {
      return { ...message, rollouts: rollouts && { ...rollouts, rollouts: undefined } };
    },
  },
  {
    contentOf: ({ rollouts }) => rollouts?.reports,
    without: ({ rollouts, ...message }) => {
      return { ...message, rollouts: rollouts && { ...rollouts, reports: [] } };
    },
  },
];

/**
 * Encodes a datagram. If it would be too long, its longest parts are omitted: crash-inducing
 * queries, evacuations, orders of rollouts, or reports on them.
 *
 * @param message - Message to encode.
 * @returns The encoded bytes.
 */
export function encodeFleetMessage(message: FleetMessage): Buffer {
  const text = toText(message);
  const isTooLong = Buffer.byteLength(text) > MAX_MESSAGE_BYTES;
  return deflateRawSync(isTooLong ? toText(withoutLongestParts(message)) : text, DEFLATE);
}

function toText(message: FleetMessage): string {
  const { kind, number, progress, members } = message;
  const { configurationVersion, leafsRevision } = progress;
  const memberFields = members.map(toMemberFields);
  const optional = optionalFields(message);
  const fields = [kind, number, configurationVersion, leafsRevision, memberFields, ...optional];
  return JSON.stringify(fields);
}

function withoutLongestParts(message: FleetMessage): FleetMessage {
  const longestFirst = OMITTABLE_PARTS.map(({ contentOf, without }) => {
    return { without, sizeBytes: Buffer.byteLength(JSON.stringify(contentOf(message) ?? null)) };
  }).sort((one, other) => other.sizeBytes - one.sizeBytes);
  return longestFirst.reduce((shorter, { without }) => {
    const isTooLong = Buffer.byteLength(toText(shorter)) > MAX_MESSAGE_BYTES;
    return isTooLong ? without(shorter) : shorter;
  }, message);
}

/** Encodes the optional values, up to the last one that the message has. */
function optionalFields(message: FleetMessage): ReadonlyArray<unknown> {
  const { crashes, evacuations, fleetSize, rollouts } = message;
  if (fleetSize !== undefined) {
    const { generation, boxCount, totalWeight } = fleetSize;
    const sizeFields = [generation, boxCount, totalWeight];
    return [crashes.map(toCrashFields), toOrderFields(message), sizeFields];
  }
  if (evacuations !== undefined || rollouts !== undefined) {
    return [crashes.map(toCrashFields), toOrderFields(message)];
  }
  return crashes.length === 0 ? [] : [crashes.map(toCrashFields)];
}

function toOrderFields({ evacuations = NO_EVACUATIONS, rollouts }: FleetMessage): OrderFields {
  const { position, dataCentres } = evacuations;
  return rollouts === undefined
    ? [position, dataCentres]
    : [position, dataCentres, toRolloutFields(rollouts)];
}

/**
 * Decodes a datagram.
 *
 * @param data - Received bytes.
 * @returns The message, or `undefined` if the bytes are not a valid one.
 */
export function decodeFleetMessage(data: Buffer): FleetMessage | undefined {
  try {
    const text = inflateRawSync(data, INFLATE).toString("utf8");
    const fields: unknown = JSON.parse(text);
    if (!isMessageFields(fields)) {
      return undefined;
    }
    const [
      kind,
      number,
      configurationVersion,
      leafsRevision,
      memberFields,
      crashList = [],
      orders = [NO_EVACUATIONS.position, []],
      sizeFields,
    ] = fields;
    const progress = { configurationVersion, leafsRevision };
    const crashes = crashList.flatMap(fromCrashFields);
    const [position, dataCentres, rolloutFields] = orders;
    const fleetSize = sizeFields && toFleetSize(sizeFields);
    return {
      kind,
      number,
      progress,
      members: memberFields.map(fromMemberFields),
      crashes,
      evacuations: position > NO_EVACUATIONS.position ? { position, dataCentres } : undefined,
      fleetSize,
      rollouts: rolloutFields && fromRolloutFields(rolloutFields),
    };
  } catch {
    return undefined;
  }
}

function toFleetSize([generation, boxCount, totalWeight]: FleetSizeFields): FleetSize {
  return { generation, boxCount, totalWeight };
}

function toCrashFields(crashes: ReportedCrashes): CrashFields {
  const { fingerprint, standing, lostLeafs, lostTrials, suspectedAgoMs, changedAgoMs } = crashes;
  const agesMs = [Math.round(suspectedAgoMs), Math.round(changedAgoMs)] as const;
  return [fingerprint, standing, lostLeafs, lostTrials, ...agesMs];
}

/** Skips a query whose status is unknown to this version. */
function fromCrashFields(fields: CrashFields): ReadonlyArray<ReportedCrashes> {
  const [fingerprint, standing, lostLeafs, lostTrials, suspectedAgoMs, changedAgoMs] = fields;
  return isCrashStatus(standing)
    ? [{ fingerprint, standing, lostLeafs, lostTrials, suspectedAgoMs, changedAgoMs }]
    : [];
}

const CRASH_STATUSES: ReadonlySet<string> = new Set<CrashStatus>([
  "suspected",
  "quarantined",
  "cleared",
]);

function isCrashStatus(text: string): text is CrashStatus {
  return CRASH_STATUSES.has(text);
}

function toMemberFields(member: Member): MemberFields {
  return [
    member.memberId,
    member.incarnation,
    member.startedAtEpochMs,
    member.version,
    member.state,
    member.dataCentre,
    member.address,
    member.peerPort,
    member.callerPort,
    member.processorCores ?? 0,
  ];
}

/** Each box runs one daemon, which has the name of the box and serves callers. */
function fromMemberFields(fields: MemberFields): Member {
  const [memberId, incarnation, startedAtEpochMs, version, state, dataCentre, ...addressFields] =
    fields;
  const [address, peerPort, callerPort, processorCores] = addressFields;
  const location = {
    role: "entry",
    box: memberId,
    dataCentre,
    address,
    peerPort,
    callerPort,
  } as const;
  const member: Member = { memberId, incarnation, startedAtEpochMs, version, state, ...location };
  return processorCores > 0 ? { ...member, processorCores } : member;
}
