/**
 * The command that shows rollouts.
 *
 * @module
 */
import type { RolloutSummary } from "../box/_rollout_summary.js";
import type { AnswerCounts } from "../model/mod.js";
import type { QueriedBox } from "./_fleet_summary.js";
import { queryBoxes } from "./_query_boxes.js";
import { type Command, type CommandContext, type CommandResult, EXIT_CODES } from "./command.js";

/** An order, as reported by the box that knows most of it. */
export interface FleetRollout {
  readonly rollout: RolloutSummary;
  readonly reportedBy: string;
  /** Number of boxes that know the order in this state. */
  readonly agreeingCount: number;
  readonly answeredCount: number;
}

const ROLE_RANKS: Readonly<Record<RolloutSummary["role"], number>> = {
  first: 2,
  substitute: 1,
  none: 0,
};

/**
 * Selects the report on each order: of the latest order of a service, the one of the box that
 * coordinates it, as it has the reports of all boxes.
 *
 * @param queried - The boxes.
 * @returns The orders, sorted by service.
 */
export function rolloutsOf(queried: ReadonlyArray<QueriedBox>): ReadonlyArray<FleetRollout> {
  const all = queried.flatMap(({ box, report }) => {
    return (report?.rollouts ?? []).map((rollout) => ({ rollout, reportedBy: box }));
  });
  const answeredCount = queried.filter(({ report }) => report !== undefined).length;
  const services = [...new Set(all.map(({ rollout }) => rollout.service))].toSorted();
  return services.flatMap((service) => {
    const views = all.filter(({ rollout }) => rollout.service === service);
    const [best] = views.toSorted((a, b) => compareViews(b.rollout, a.rollout));
    const agreeing = views.filter(({ rollout }) => {
      return best !== undefined && phaseOf(rollout) === phaseOf(best.rollout);
    });
    return best === undefined ? [] : [{ ...best, agreeingCount: agreeing.length, answeredCount }];
  });
}

function compareViews(a: RolloutSummary, b: RolloutSummary): number {
  return (
    a.orderPosition - b.orderPosition ||
    ROLE_RANKS[a.role] - ROLE_RANKS[b.role] ||
    a.requests - b.requests
  );
}

function phaseOf({ attempt, isBad, orderPosition, stage, state }: RolloutSummary): string {
  const names = { running: stage, completed: "completed", rolledBack: "rolled back" } as const;
  const bad = isBad && state === "running" ? ", bad" : "";
  return `${names[state]}${bad}, attempt ${attempt}, order ${orderPosition}`;
}

/**
 * Describes an order in one line.
 *
 * @param reported - The order.
 * @returns The line.
 */
export function describeRollout(reported: FleetRollout): string {
  const { agreeingCount, answeredCount, rollout } = reported;
  const { ageMs, requests, service, targetCalls, targetVersion, waitsFor } = rollout;
  const share = requests === 0 ? 0 : (100 * targetCalls) / requests;
  return [
    `${service} to ${targetVersion}: ${phaseOf(rollout)}`,
    `ordered ${(ageMs / 1_000).toFixed(1)} s ago`,
    `${targetCalls} of ${requests} calls (${share.toFixed(1)} %)`,
    `known by ${agreeingCount} of ${answeredCount} boxes`,
    `waits for ${waitsFor}`,
  ].join(", ");
}

/**
 * Describes an order in detail.
 *
 * @param reported - The order.
 * @returns The lines.
 */
export function describeRolloutInDetail(reported: FleetRollout): ReadonlyArray<string> {
  const { answeredCount, reportedBy, rollout } = reported;
  const { confirmedBoxes, role, routes } = rollout;
  const extent = role === "none" ? "its own calls only" : "the calls of all boxes";
  const names = confirmedBoxes.length === 0 ? "" : `: ${confirmedBoxes.join(" ")}`;
  return [
    describeRollout(reported),
    `  reported by ${reportedBy}, which knows ${extent}`,
    `  confirmed by ${confirmedBoxes.length} of ${answeredCount} boxes${names}`,
    ...routes.flatMap(({ baseline, route, target }) => [
      `  ${route}: ${rollout.targetVersion} ${describeAnswers(target)}`,
      `  ${route}: others ${describeAnswers(baseline)}`,
    ]),
  ];
}

function describeAnswers({ answers, failed, slow }: AnswerCounts): string {
  return `${answers} answers, ${failed} failed, ${slow} slow`;
}

async function rollouts({ settings, positionals }: CommandContext): Promise<CommandResult> {
  const all = rolloutsOf(await queryBoxes(settings.entry));
  const [service] = positionals;
  if (service === undefined) {
    const lines = all.length === 0 ? ["No rollouts"] : all.map(describeRollout);
    return { exitCode: EXIT_CODES.ok, lines, data: all };
  }
  const chosen = all.filter(({ rollout }) => rollout.service === service);
  return chosen.length === 0
    ? {
        exitCode: EXIT_CODES.failed,
        lines: [`No rollout of service "${service}" is known`],
        data: [],
      }
    : { exitCode: EXIT_CODES.ok, lines: chosen.flatMap(describeRolloutInDetail), data: chosen };
}

/** Commands by name. */
export const ROLLOUTS_COMMANDS: Readonly<Record<string, Command>> = {
  rollouts: {
    usage: "[SERVICE]",
    help: "Lists all rollouts; --entry is the peer port of any box; with SERVICE shows one in detail",
    positionalCount: 0,
    optionalPositionalCount: 1,
    specs: {},
    run: rollouts,
  },
};
