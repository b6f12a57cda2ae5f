/**
 * The datagrams that boxes exchange: who is there, and how far the sender is with what lasts in the
 * store. Lists in place of named fields, deflated: each box sends some every second, and most of them
 * pass between regions.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { EvacuationUpdate, Member } from "../model/mod.js";
import type { CrashStatus, ReportedCrashes } from "../quarantine/mod.js";
import {
  type CrashFields,
  type FleetMessageKind,
  isMessageFields,
  type MemberFields,
} from "./_fleet_message_fields.js";

/** How far a box is with what lasts in the store. */
export interface SyncProgress {
  /** Version of the configuration in force; 0 before the first. */
  readonly configurationVersion: number;
  /** Revision of the store up to which it knows the leafs' entries; 0 before the first. */
  readonly leafsRevision: number;
}

export type { FleetMessageKind };

/** One datagram. */
export interface FleetMessage {
  readonly kind: FleetMessageKind;
  /** Number of the question, so that an answer can be told from a late one. */
  readonly number: number;
  readonly progress: SyncProgress;
  /** The sender first, then others that it tells of. */
  readonly members: ReadonlyArray<Member>;
  /** Queries under which leafs were lost. */
  readonly crashes: ReadonlyArray<ReportedCrashes>;
  /** Data centres that are emptied; nothing where none ever was. */
  readonly evacuations?: EvacuationUpdate | undefined;
}

/** Largest datagram taken, inflated, in bytes. */
const MAX_MESSAGE_BYTES = 65_536;

/**
 * How datagrams are deflated. A whole one has some 1,600 bytes, so that a window of 4 KB holds it: the
 * usual memory of a quarter of a megabyte a call was most of what a box that stands by gave the garbage
 * collector. One datagram of 15 members is written in 16 µs, with the usual options in 58, at the same
 * length (269 and 270 bytes; mean of 3,000, one core).
 */
const DEFLATE = { windowBits: 12, memLevel: 4, chunkSize: 4_096, level: 1 } as const;

/** How datagrams are inflated: 14 µs each, with the usual options 32. */
const INFLATE = { windowBits: 12, chunkSize: 4_096, maxOutputLength: MAX_MESSAGE_BYTES } as const;

/**
 * Writes a datagram.
 *
 * @param message - What it says.
 * @returns Its bytes.
 */
export function encodeFleetMessage(message: FleetMessage): Buffer {
  const { kind, number, progress, members, crashes, evacuations } = message;
  const { configurationVersion, leafsRevision } = progress;
  const listed = members.map(toFields);
  const emptied = evacuations && [evacuations.position, evacuations.dataCentres];
  const told = crashes.length === 0 && emptied === undefined ? [] : [crashes.map(toCrashFields)];
  const rest = emptied === undefined ? told : [...told, emptied];
  const fields = [kind, number, configurationVersion, leafsRevision, listed, ...rest];
  return deflateRawSync(JSON.stringify(fields), DEFLATE);
}

/**
 * Reads a datagram.
 *
 * @param data - Its bytes.
 * @returns What it says, or nothing where it is no message.
 */
export function decodeFleetMessage(data: Buffer): FleetMessage | undefined {
  try {
    const text = inflateRawSync(data, INFLATE).toString("utf8");
    const fields: unknown = JSON.parse(text);
    if (!isMessageFields(fields)) {
      return undefined;
    }
    const [kind, number, configurationVersion, leafsRevision, listed, told = [], emptied] = fields;
    const progress = { configurationVersion, leafsRevision };
    const crashes = told.flatMap(fromCrashFields);
    const evacuations = emptied && { position: emptied[0], dataCentres: emptied[1] };
    return { kind, number, progress, members: listed.map(fromFields), crashes, evacuations };
  } catch {
    return undefined;
  }
}

function toCrashFields(told: ReportedCrashes): CrashFields {
  const { fingerprint, standing, lostLeafs, lostTrials, suspectedAgoMs, changedAgoMs } = told;
  const agesMs = [Math.round(suspectedAgoMs), Math.round(changedAgoMs)] as const;
  return [fingerprint, standing, lostLeafs, lostTrials, ...agesMs];
}

/** A standing that this version does not know is passed over. */
function fromCrashFields(fields: CrashFields): ReadonlyArray<ReportedCrashes> {
  const [fingerprint, standing, lostLeafs, lostTrials, suspectedAgoMs, changedAgoMs] = fields;
  return isStanding(standing)
    ? [{ fingerprint, standing, lostLeafs, lostTrials, suspectedAgoMs, changedAgoMs }]
    : [];
}

const STANDINGS: ReadonlySet<string> = new Set<CrashStatus>([
  "suspected",
  "quarantined",
  "cleared",
]);

function isStanding(text: string): text is CrashStatus {
  return STANDINGS.has(text);
}

function toFields(member: Member): MemberFields {
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

/** On the users' platform a box has one daemon, named as the box, that faces callers. */
function fromFields(fields: MemberFields): Member {
  const [memberId, incarnation, startedAtEpochMs, version, state, dataCentre, ...rest] = fields;
  const [address, peerPort, callerPort, processorCores] = rest;
  const place = {
    role: "entry",
    box: memberId,
    dataCentre,
    address,
    peerPort,
    callerPort,
  } as const;
  const member: Member = { memberId, incarnation, startedAtEpochMs, version, state, ...place };
  return processorCores > 0 ? { ...member, processorCores } : member;
}
