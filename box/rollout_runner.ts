/**
 * Runs the coordination of all orders on this box: collects reports, judges them, and performs the
 * effects of the coordination. It makes passes only while an order is running, or while a verdict
 * may still have to be recorded.
 *
 * @module
 */
import { rendezvousRank } from "../hashing/mod.js";
import { eraOf, type Rollout, type RolloutReport } from "../model/mod.js";
import {
  type BadVerdict,
  type CoordinationEffect,
  type CoordinationEvent,
  type CoordinationState,
  type CoordinatorRole,
  coordinateRollout,
  type RolloutTotals,
  startCoordinatingRollout,
  VersionJudge,
} from "../rollouts/mod.js";
import { ReportSender } from "./_report_sender.js";
import { type CountedCalls, countCalls, countRolloutEvent } from "./_rollout_counts.js";
import type { RolloutBox, RolloutRunnerOptions } from "./_rollout_ports.js";
import { type RolloutSummary, summariseRollout } from "./_rollout_summary.js";
import { StatusWriter } from "./_status_writer.js";

/** Interval of passes while an order is running, in milliseconds. */
const PASS_INTERVAL_MS = 100;

/**
 * Delay of a pass after a confirmation or a verdict, in which further ones are combined with it.
 */
const URGENT_PASS_DELAY_MS = 5;

/** Coordination of one order, and the judge of the reports of all boxes. */
interface Coordination {
  state: CoordinationState;
  readonly judge: VersionJudge;
  /** Counts that the metrics contain. */
  counted: CountedCalls;
}

/** Inputs of a pass that are equal for all orders. */
interface Pass {
  /** Current time, in milliseconds. */
  readonly nowMs: number;
  readonly role: CoordinatorRole;
  readonly members: Extract<CoordinationEvent, { readonly kind: "members" }>;
  readonly ownReports: ReadonlyMap<string, RolloutReport>;
}

/** Coordinates all orders of a box. */
export class RolloutRunner {
  readonly #options: RolloutRunnerOptions;
  readonly #writer: StatusWriter;
  readonly #sender: ReportSender;
  readonly #coordinations = new Map<string, Coordination>();
  /** Boxes to which the orders are sent at the end of a pass. */
  readonly #recipients = new Set<string>();
  #timer: NodeJS.Timeout | undefined;
  #urgentTimer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /**
   * @param options - The other parts of the box.
   */
  constructor(options: RolloutRunnerOptions) {
    this.#options = options;
    this.#writer = new StatusWriter(options);
    this.#sender = new ReportSender(options.link);
  }

  /** Starts passes if there is work for them; must be called after the orders have changed. */
  wake(): void {
    this.#timer ??= this.#schedulePass(PASS_INTERVAL_MS);
  }

  /** Makes the next pass without delay, as other boxes wait for what this one has to send. */
  passSoon(): void {
    this.#urgentTimer ??= this.#schedulePass(URGENT_PASS_DELAY_MS);
  }

  #schedulePass(delayMs: number): NodeJS.Timeout | undefined {
    if (this.#isStopped || !this.#hasWork()) {
      return undefined;
    }
    return setTimeout(() => {
      this.#clearTimers();
      this.pass();
      this.wake();
    }, delayMs);
  }

  /** Stops all passes, also those that later answers of the store or reports would start. */
  stop(): void {
    this.#isStopped = true;
    this.#clearTimers();
  }

  #clearTimers(): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#urgentTimer);
    this.#timer = undefined;
    this.#urgentTimer = undefined;
  }

  /**
   * Merges reports of another box.
   *
   * @param reports - What the box has seen of orders.
   */
  receive(reports: ReadonlyArray<RolloutReport>): void {
    for (const report of reports) {
      this.#options.reports.merge(report);
    }
    const { orders } = this.#options;
    const isUrgent = reports.some(({ confirmedAttempt, isBad, service }) => {
      return isBad || (confirmedAttempt > 0 && confirmedAttempt === orders.get(service)?.attempt);
    });
    if (isUrgent) {
      this.passSoon();
    }
    this.wake();
  }

  /**
   * Announces to all boxes that this box has judged the target of an order as bad.
   *
   * @param order - The order.
   * @param verdict - What it was judged by.
   */
  reportBad(order: Rollout, { kind: _, ...inputs }: BadVerdict): void {
    const { box, members, nowMs, orders } = this.#options;
    orders.merge({ ...order, isBad: true });
    const others = members().filter(({ memberId, state }) => memberId !== box && state !== "dead");
    for (const { memberId } of others) {
      this.#recipients.add(memberId);
    }
    const coordination = this.#coordinationOf(order, nowMs());
    this.#advance(coordination, { kind: "bad", nowMs: nowMs(), inputs });
    this.#flush();
    this.wake();
  }

  /**
   * Returns what this box knows of all orders, for operators.
   *
   * @returns One summary for each order, sorted by service.
   */
  summaries(): ReadonlyArray<RolloutSummary> {
    return [...this.#coordinations.values()]
      .map(({ state }) => summariseRollout(state, this.#options.reports))
      .toSorted((a, b) => (a.service < b.service ? -1 : 1));
  }

  /** Processes all orders once. */
  pass(): void {
    const { gate, nowMs, orders, reports, telemetry } = this.#options;
    const own = gate.reports();
    for (const report of own) {
      reports.merge(report);
    }
    const pass = this.#startPass(nowMs(), own);
    const all = orders.all();
    this.#removeUnlisted(all);
    reports.forgetUnless(({ orderPosition, service }) => {
      return orderPosition >= (orders.get(service)?.orderPosition ?? 0);
    });
    for (const order of all) {
      this.#processOrder(order, pass);
    }
    telemetry.rollouts.running.set(all.filter(({ state }) => state === "running").length);
    this.#flush();
  }

  #startPass(nowMs: number, own: ReadonlyArray<RolloutReport>): Pass {
    const { box, listedBoxes, members } = this.#options;
    const boxes = members();
    const live = boxes.filter(({ state }) => state !== "dead");
    const names = live.map(({ memberId }) => memberId);
    const coordinators = rendezvousRank("coordinate rollouts", names).slice(0, 2);
    const recipients = coordinators.filter((each) => each !== box);
    this.#sender.send(own, recipients, nowMs);
    return {
      nowMs,
      role: roleOf(box, coordinators, live),
      members: { kind: "members", members: boxes.map(toMember), listedBoxes: listedBoxes() },
      ownReports: new Map(own.map((report) => [report.service, report])),
    };
  }

  #processOrder(order: Rollout, pass: Pass): void {
    const { leafsOf, orders, reports } = this.#options;
    const coordination = this.#coordinationOf(order, pass.nowMs);
    const { orderPosition, service } = order;
    const totals = reports.totals({ service, orderPosition });
    const leafs = leafsOf(order);
    const confirmations = reports
      .reportsOf({ service, orderPosition })
      .map(({ box, confirmedAttempt, incarnation }) => ({
        box,
        incarnation,
        attempt: confirmedAttempt,
      }));
    const { requests, targetCalls } = totals;
    const events: ReadonlyArray<CoordinationEvent> = [
      { kind: "viewed", order, revision: orders.positionOf(service) },
      { kind: "reports", requests, targetCalls, confirmations },
      pass.members,
      ...(leafs === undefined ? [] : [{ kind: "leafs", leafs } as const]),
    ];
    for (const event of events) {
      this.#advance(coordination, event);
    }
    this.#judge(coordination, totals, pass);
    const storeEra = eraOf(orders.position);
    this.#advance(coordination, { kind: "tick", nowMs: pass.nowMs, role: pass.role, storeEra });
  }

  #coordinationOf(order: Rollout, nowMs: number): Coordination {
    const known = this.#coordinations.get(order.service);
    if (known?.state.facts.order.orderPosition === order.orderPosition) {
      return known;
    }
    const { bounds } = this.#options;
    const coordination = {
      state: startCoordinatingRollout(order, { ...bounds, nowMs }),
      judge: new VersionJudge(),
      counted: { targetCalls: 0, badAnswers: 0 },
    };
    this.#coordinations.set(order.service, coordination);
    return coordination;
  }

  /** Removes the coordination of services that no longer have an order. */
  #removeUnlisted(orders: ReadonlyArray<Rollout>): void {
    const services = new Set(orders.map(({ service }) => service));
    for (const service of this.#coordinations.keys()) {
      if (!services.has(service)) {
        this.#coordinations.delete(service);
      }
    }
  }

  /**
   * Updates the metrics from this box's own report, and judges the sum of all reports if this box
   * coordinates. `RolloutGate` judges the calls of this box alone.
   */
  #judge(coordination: Coordination, totals: RolloutTotals, pass: Pass): void {
    const { leafs, order } = coordination.state.facts;
    const { rollouts } = this.#options.telemetry;
    const own = pass.ownReports.get(order.service);
    if (own?.orderPosition === order.orderPosition) {
      coordination.counted = countCalls(rollouts, coordination.counted, own);
    }
    if (order.isBad || order.state !== "running" || pass.role === "none") {
      return;
    }
    const context = { nowMs: pass.nowMs, targetLeafCount: leafs.targetCount };
    const verdict = coordination.judge.update(totals, context);
    if (verdict.kind === "bad") {
      this.reportBad(order, verdict);
    }
  }

  #advance(coordination: Coordination, event: CoordinationEvent): void {
    const { effects, state } = coordinateRollout(coordination.state, event);
    coordination.state = state;
    for (const effect of effects) {
      this.#perform(coordination, effect);
    }
  }

  #perform(coordination: Coordination, effect: CoordinationEffect): void {
    const performers: Performers = {
      apply: ({ order }) => this.#options.orders.merge(order),
      announce: ({ boxes }) => {
        for (const box of boxes) {
          this.#recipients.add(box);
        }
      },
      writeStatus: ({ order, write }) => {
        this.#writer.add({
          ...{ order, write },
          onAnswer: (result) => {
            this.#advance(coordination, { kind: "answered", write, result });
            this.#flush();
            this.wake();
          },
        });
      },
      countRollout: ({ count }) => {
        const { service } = coordination.state.facts.order;
        countRolloutEvent(this.#options.telemetry.rollouts, service, count);
      },
      log: ({ component, fields, level, message }) => {
        this.#options.telemetry.event(level, `${component}: ${message}`, fields);
      },
    };
    performers[effect.kind](effect as never);
  }

  /** Sends the orders to the boxes to which something was announced since the last time. */
  #flush(): void {
    this.#recipients.delete(this.#options.box);
    const boxes = [...this.#recipients];
    this.#recipients.clear();
    if (boxes.length > 0) {
      this.#options.link.send(boxes, []);
    }
  }

  #hasWork(): boolean {
    const { orders } = this.#options;
    const era = eraOf(orders.position);
    const isRunning = orders.all().some(({ state }) => state === "running");
    const isOpen = [...this.#coordinations.values()].some(({ state }) => {
      return state.kind !== "settled" || state.write !== undefined || state.recordedEra < era;
    });
    return isRunning || isOpen;
  }
}

type Performers = {
  readonly [K in CoordinationEffect["kind"]]: (
    effect: Extract<CoordinationEffect, { readonly kind: K }>,
  ) => void;
};

/** The second box of the ranking coordinates only while the first is not alive. */
function roleOf(
  box: string,
  [first, second]: ReadonlyArray<string>,
  live: ReadonlyArray<RolloutBox>,
): CoordinatorRole {
  if (box === first) {
    return "first";
  }
  const isFirstAlive = live.some(({ memberId, state }) => memberId === first && state === "alive");
  return box === second && !isFirstAlive ? "substitute" : "none";
}

function toMember({ incarnation, memberId, state }: RolloutBox): {
  readonly box: string;
  readonly incarnation: string;
  readonly isDead: boolean;
} {
  return { box: memberId, incarnation, isDead: state === "dead" };
}
