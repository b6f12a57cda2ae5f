/**
 * Validation of the datagrams between boxes. An invalid value would otherwise spread from box to
 * box and crash each of them.
 *
 * The checks are written by hand, as a box of a large fleet reads hundreds of datagrams while it
 * starts, for which a schema library is too slow.
 *
 * @module
 */
import { isIpAddress, isPort, type MemberState } from "../model/mod.js";
import {
  type Checks,
  isCount,
  isListOf,
  isNumber,
  isString,
  isTextList,
  matches,
} from "./_field_checks.js";
import { isRolloutFields, type RolloutFields } from "./_rollout_fields.js";

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

/**
 * Orders of operators, with their values in the order on the wire. Rollouts are part of this list,
 * as earlier builds ignore its additional values, whereas they refuse a datagram with a value after
 * an unknown size of the fleet.
 */
export type OrderFields = readonly [
  /** Position of the evacuations; 0 if no data centre was ever evacuated. */
  position: number,
  dataCentres: ReadonlyArray<string>,
  /** Omitted if rollouts are disabled. */
  rollouts?: RolloutFields,
];

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
  /** Omitted if no value follows, if there are none. */
  orders?: OrderFields,
  /** Omitted while it is unknown. */
  fleetSize?: FleetSizeFields,
];

const KINDS: ReadonlySet<unknown> = new Set<FleetMessageKind>(["ask", "answer", "news"]);
const STATES: ReadonlySet<unknown> = new Set<MemberState>([
  "joining",
  "alive",
  "suspect",
  "leaving",
  "dead",
]);

/** Maximum number of boxes of a fleet. */
const MAX_BOXES = 100_000;

const MEMBER_CHECKS: Checks<MemberFields> = [
  isString,
  isString,
  isNumber,
  isNumber,
  (value) => STATES.has(value),
  isString,
  isIpAddress,
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

const ORDER_CHECKS: Checks<Required<OrderFields>> = [
  isNumber,
  isTextList,
  (value) => value === undefined || isRolloutFields(value),
];

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
  (value) => value === undefined || matches(value, ORDER_CHECKS),
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
