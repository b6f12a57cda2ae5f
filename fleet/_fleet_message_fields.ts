/**
 * Validation of the datagrams between boxes. An invalid value would otherwise spread from box to
 * box and crash each of them.
 *
 * The checks are written by hand, as a box of a large fleet reads hundreds of datagrams while it
 * starts, for which a schema library is too slow.
 *
 * @module
 */
import { isIPv4 } from "node:net";
import type { MemberState } from "../model/mod.js";

/** Kind of a datagram: a request, the response to one, or an unsolicited update. */
export type FleetMessageKind = "ask" | "answer" | "news";

/** A member, with its values in the order on the wire. */
export type MemberFields = readonly [
  memberId: string,
  incarnation: string,
  startedAtEpochMs: number,
  version: number,
  state: MemberState,
  dataCentre: string,
  address: string,
  peerPort: number,
  callerPort: number,
  processorCores: number,
];

/** A crash-inducing query, with its values in the order on the wire. */
export type CrashFields = readonly [
  fingerprint: string,
  standing: string,
  lostLeafs: number,
  lostTrials: number,
  suspectedAgoMs: number,
  changedAgoMs: number,
];

/** Evacuated data centres, with their values in the order on the wire. */
export type EvacuationFields = readonly [position: number, dataCentres: ReadonlyArray<string>];

/** Size of the fleet, with its values in the order on the wire. */
export type FleetSizeFields = readonly [generation: number, boxCount: number, totalWeight: number];

/** A datagram, with its values in the order on the wire. */
export type MessageFields = readonly [
  kind: FleetMessageKind,
  number: number,
  configurationVersion: number,
  leafsRevision: number,
  members: ReadonlyArray<MemberFields>,
  /** Empty, or omitted if no value follows, if there are none. */
  crashes?: ReadonlyArray<CrashFields>,
  /** At position 0, or omitted if no value follows, if no data centre was ever evacuated. */
  evacuations?: EvacuationFields,
  /** Omitted while it is unknown. */
  fleetSize?: FleetSizeFields,
];

type Check = (value: unknown) => boolean;

const KINDS: ReadonlySet<unknown> = new Set<FleetMessageKind>(["ask", "answer", "news"]);
const STATES: ReadonlySet<unknown> = new Set<MemberState>([
  "joining",
  "alive",
  "suspect",
  "leaving",
  "dead",
]);
const MAX_PORT = 65_535;

/** Maximum number of boxes of a fleet. */
const MAX_BOXES = 100_000;

const isString: Check = (value) => typeof value === "string";
const isNumber: Check = (value) => Number.isFinite(value);
const isAddress: Check = (value) => typeof value === "string" && isIPv4(value);
const isPort: Check = (value) => {
  return Number.isInteger(value) && Number(value) > 0 && Number(value) <= MAX_PORT;
};

/** A check for each value, in the same order. */
type Checks<Fields extends ReadonlyArray<unknown>> = {
  readonly [Index in keyof Fields]: Check;
};

const MEMBER_CHECKS: Checks<MemberFields> = [
  isString,
  isString,
  isNumber,
  isNumber,
  (value) => STATES.has(value),
  isString,
  isAddress,
  isPort,
  isPort,
  isNumber,
];

const CRASH_CHECKS: Checks<CrashFields> = [
  isString,
  isString,
  isNumber,
  isNumber,
  isNumber,
  isNumber,
];

const EVACUATION_CHECKS: Checks<EvacuationFields> = [
  isNumber,
  (value) => Array.isArray(value) && value.every(isString),
];

const isCount: Check = (value) => Number.isSafeInteger(value) && Number(value) > 0;

const FLEET_SIZE_CHECKS: Checks<FleetSizeFields> = [
  isCount,
  (value) => isCount(value) && Number(value) <= MAX_BOXES,
  (value) => Number.isFinite(value) && Number(value) > 0,
];

const MESSAGE_CHECKS: Checks<Required<MessageFields>> = [
  (value) => KINDS.has(value),
  isNumber,
  isNumber,
  isNumber,
  (value) => isListOf(value, MEMBER_CHECKS),
  (value) => value === undefined || isListOf(value, CRASH_CHECKS),
  (value) => value === undefined || matches(value, EVACUATION_CHECKS),
  (value) => value === undefined || matches(value, FLEET_SIZE_CHECKS),
];

/**
 * Reports whether data is the content of a datagram.
 *
 * @param data - Parsed data.
 * @returns Whether each value is valid; additional values are ignored.
 */
export function isMessageFields(data: unknown): data is MessageFields {
  return matches(data, MESSAGE_CHECKS);
}

function isListOf(data: unknown, checks: ReadonlyArray<Check>): boolean {
  return Array.isArray(data) && data.every((item) => matches(item, checks));
}

function matches(data: unknown, checks: ReadonlyArray<Check>): boolean {
  return Array.isArray(data) && checks.every((check, index) => check(data[index]));
}
