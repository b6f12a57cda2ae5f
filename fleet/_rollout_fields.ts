/**
 * Values of a datagram about rollouts, in their order on the wire, and their validation.
 *
 * @module
 */
import type {
  AnswerCounts,
  RolloutReport,
  RolloutStage,
  RolloutState,
  RouteEvidence,
} from "../model/mod.js";
import {
  type Check,
  type Checks,
  isCountOrZero,
  isListOf,
  isNumber,
  isString,
  isTextList,
  matches,
} from "./_field_checks.js";
import type { ReportedRollout, RolloutMessage } from "./rollout_messages.js";

type OrderFields = readonly [
  service: string,
  targetVersion: string,
  durationMs: number,
  orderPosition: number,
  orderedAgoMs: number,
  state: RolloutState,
  attempt: number,
  stage: RolloutStage,
  isBad: 0 | 1,
  retiredVersions: ReadonlyArray<string>,
];

type CountFields = readonly [answers: number, failed: number, slow: number, timed: number];

type RouteFields = readonly [route: string, target: CountFields, baseline: CountFields];

type ReportFields = readonly [
  box: string,
  incarnation: string,
  service: string,
  orderPosition: number,
  requests: number,
  targetCalls: number,
  routes: ReadonlyArray<RouteFields>,
  failedLeafs: ReadonlyArray<string>,
  confirmedAttempt: number,
  isBad: 0 | 1,
];

/** What a datagram says about rollouts. */
export type RolloutFields = readonly [
  position: number,
  digest: number,
  /** 0 if the datagram contains only the digest. */
  orders: ReadonlyArray<OrderFields> | 0,
  /** Omitted if there are none. */
  reports?: ReadonlyArray<ReportFields>,
];

const STATES: ReadonlySet<unknown> = new Set<RolloutState>(["running", "completed", "rolledBack"]);
const STAGES: ReadonlySet<unknown> = new Set<RolloutStage>(["gradual", "switching"]);

const isFlag: Check = (value) => value === 0 || value === 1;
const isDuration: Check = (value) => isNumber(value) && Number(value) > 0;

const ORDER_CHECKS: Checks<OrderFields> = [
  isString,
  isString,
  isDuration,
  isCountOrZero,
  isNumber,
  (value) => STATES.has(value),
  isCountOrZero,
  (value) => STAGES.has(value),
  isFlag,
  isTextList,
];

const COUNT_CHECKS: Checks<CountFields> = [
  isCountOrZero,
  isCountOrZero,
  isCountOrZero,
  isCountOrZero,
];

const ROUTE_CHECKS: Checks<RouteFields> = [
  isString,
  (value) => matches(value, COUNT_CHECKS),
  (value) => matches(value, COUNT_CHECKS),
];

const REPORT_CHECKS: Checks<ReportFields> = [
  isString,
  isString,
  isString,
  isCountOrZero,
  isCountOrZero,
  isCountOrZero,
  (value) => isListOf(value, ROUTE_CHECKS),
  isTextList,
  isCountOrZero,
  isFlag,
];

const ROLLOUT_CHECKS: Checks<Required<RolloutFields>> = [
  isCountOrZero,
  isNumber,
  (value) => value === 0 || isListOf(value, ORDER_CHECKS),
  (value) => value === undefined || isListOf(value, REPORT_CHECKS),
];

/**
 * Reports whether data is what a datagram says about rollouts.
 *
 * @param data - Parsed data.
 * @returns Whether each value is valid; additional values are ignored.
 */
export function isRolloutFields(data: unknown): data is RolloutFields {
  return matches(data, ROLLOUT_CHECKS);
}

/**
 * Converts what a datagram says about rollouts to its values on the wire.
 *
 * @param message - What the datagram says.
 * @returns The values.
 */
export function toRolloutFields({
  position,
  digest,
  rollouts,
  reports,
}: RolloutMessage): RolloutFields {
  const orders = rollouts?.map(toOrderFields) ?? 0;
  const fields = [position, digest, orders] as const;
  return reports.length === 0 ? fields : [...fields, reports.map(toReportFields)];
}

/**
 * Converts values on the wire to what the datagram says about rollouts.
 *
 * @param fields - Valid values.
 * @returns What the datagram says.
 */
export function fromRolloutFields([
  position,
  digest,
  orders,
  reports = [],
]: RolloutFields): RolloutMessage {
  const rollouts = orders === 0 ? undefined : orders.map(fromOrderFields);
  return { position, digest, rollouts, reports: reports.map(fromReportFields) };
}

/** Ages are rounded down: an order would otherwise become older each time it is passed on. */
function toOrderFields(rollout: ReportedRollout): OrderFields {
  return [
    rollout.service,
    rollout.targetVersion,
    rollout.durationMs,
    rollout.orderPosition,
    Math.floor(rollout.orderedAgoMs),
    rollout.state,
    rollout.attempt,
    rollout.stage,
    rollout.isBad ? 1 : 0,
    rollout.retiredVersions,
  ];
}

function fromOrderFields(fields: OrderFields): ReportedRollout {
  const [service, targetVersion, durationMs, orderPosition, orderedAgoMs, ...progress] = fields;
  const [state, attempt, stage, isBad, retiredVersions] = progress;
  const order = { service, targetVersion, durationMs, orderPosition, orderedAgoMs };
  return { ...order, state, attempt, stage, isBad: isBad === 1, retiredVersions };
}

function toReportFields(report: RolloutReport): ReportFields {
  return [
    report.box,
    report.incarnation,
    report.service,
    report.orderPosition,
    report.requests,
    report.targetCalls,
    report.routes.map(toRouteFields),
    report.failedLeafs,
    report.confirmedAttempt,
    report.isBad ? 1 : 0,
  ];
}

function fromReportFields(fields: ReportFields): RolloutReport {
  const [box, incarnation, service, orderPosition, requests, targetCalls, ...others] = fields;
  const [routes, failedLeafs, confirmedAttempt, isBad] = others;
  const counts = { requests, targetCalls, routes: routes.map(fromRouteFields), failedLeafs };
  const order = { box, incarnation, service, orderPosition };
  return { ...order, ...counts, confirmedAttempt, isBad: isBad === 1 };
}

function toRouteFields({ route, target, baseline }: RouteEvidence): RouteFields {
  return [route, toCountFields(target), toCountFields(baseline)];
}

function fromRouteFields([route, target, baseline]: RouteFields): RouteEvidence {
  return { route, target: fromCountFields(target), baseline: fromCountFields(baseline) };
}

function toCountFields({ answers, failed, slow, timed }: AnswerCounts): CountFields {
  return [answers, failed, slow, timed];
}

function fromCountFields([answers, failed, slow, timed]: CountFields): AnswerCounts {
  return { answers, failed, slow, timed };
}
