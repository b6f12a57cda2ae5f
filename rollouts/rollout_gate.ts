/**
 * Decides for one box which versions of a service receive calls.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import type { Rollout, RolloutBounds, RolloutReport, StorePosition } from "../model/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import { HeldVersions } from "./held_versions.js";
import type { BadVerdict } from "./judge_version.js";
import { OpenVersionCalls } from "./open_version_calls.js";
import { OrderProgress } from "./order_progress.js";
import { PHASE_RULES, type RolloutPhase } from "./rollout_phase.js";
import type {
  VersionAccess,
  VersionBlockCause,
  VersionCall,
  VersionCallEnd,
} from "./version_access.js";

/** Options of {@link RolloutGate}. */
export interface RolloutGateOptions {
  /** Name of this box. */
  readonly box: string;
  readonly incarnation: string;
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  readonly bounds: RolloutBounds;
  /** Returns the latest known order of a service. */
  readonly rolloutOf: (service: string) => Rollout | undefined;
  /** Returns the store position up to which orders are known. */
  readonly ordersPosition: () => StorePosition;
  /** Returns this box's part of the slack; at most 1 in total over all boxes. */
  readonly slackShare: () => number;
  /** Returns the listed leafs of a service. */
  readonly leafsOf: (service: string) => ReadonlyArray<Leaf>;
  /** Called once for each order whose target version this box judges as bad. */
  readonly onBad: (rollout: Rollout, verdict: BadVerdict) => void;
  /** Called when this box has confirmed an attempt to switch. */
  readonly onConfirmed: () => void;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

interface KnownOrder {
  readonly progress: OrderProgress;
  /** State of the order that was logged last. */
  phase: RolloutPhase | undefined;
  /** Whether the service has had a leaf of the baseline since the order was seen. */
  hasHadBaseline: boolean;
}

/** Access by the version of a leaf, as decided by this box. */
export class RolloutGate implements VersionAccess {
  readonly #options: RolloutGateOptions;
  readonly #orders = new Map<string, KnownOrder>();
  readonly #openCalls = new OpenVersionCalls();
  readonly #heldVersions: HeldVersions;

  /**
   * @param options - What the decisions depend on.
   */
  constructor(options: RolloutGateOptions) {
    const { leafsOf, nowMs, ordersPosition, telemetry } = options;
    this.#options = options;
    this.#heldVersions = new HeldVersions({
      leafsOf,
      nowMs,
      ordersPosition,
      telemetry,
      isAllowedByOrder: (leaf) => this.#causeByOrder(leaf) === undefined,
    });
  }

  /** @inheritdoc */
  blockCause(leaf: Leaf): VersionBlockCause | undefined {
    if (leaf.version === undefined) {
      return undefined;
    }
    const cause = this.#causeByOrder(leaf);
    if (cause !== undefined || this.#isTarget(leaf)) {
      return cause;
    }
    return this.#heldVersions.isHeld(leaf) ? "held" : undefined;
  }

  /** @inheritdoc */
  preferredVersion(service: string): string | undefined {
    const rollout = this.#options.rolloutOf(service);
    if (rollout?.state !== "running") {
      return undefined;
    }
    return this.#targetCause(rollout) === undefined ? rollout.targetVersion : undefined;
  }

  /** @inheritdoc */
  recordCallSent(call: VersionCall): void {
    this.#openCalls.record(call.leaf, 1);
    const rollout = this.#options.rolloutOf(call.leaf.service);
    if (rollout?.state === "running") {
      this.#updatedOrder(rollout).progress.recordCallSent(rollout, call);
    }
  }

  /** @inheritdoc */
  recordCallEnd(end: VersionCallEnd): void {
    const { leafsOf, onBad, rolloutOf } = this.#options;
    const { service } = end.leaf;
    this.#openCalls.record(end.leaf, -1);
    const rollout = rolloutOf(service);
    if (rollout?.state !== "running") {
      return;
    }
    const { progress } = this.#updatedOrder(rollout);
    const targetLeafCount = () =>
      leafsOf(service).filter(({ version }) => version === rollout.targetVersion).length;
    const verdict = progress.recordCallEnd(rollout, end, targetLeafCount);
    if (verdict !== undefined) {
      // Logs the new state before the verdict is announced.
      this.#updatedOrder(rollout);
      onBad(rollout, verdict);
    }
  }

  /**
   * Brings services up to date. Must be called when their orders or leafs change, so that new
   * versions and orders are noticed before the next call.
   *
   * @param services - Services whose orders or leafs have changed.
   */
  refresh(services: Iterable<string>): void {
    for (const service of services) {
      this.#heldVersions.observe(service);
      const rollout = this.#options.rolloutOf(service);
      if (rollout !== undefined) {
        const order = this.#updatedOrder(rollout);
        order.hasHadBaseline ||= this.#hasBaseline(rollout);
      } else if (this.#orders.delete(service)) {
        this.#options.telemetry.event("info", "rollouts: order is gone", { service });
      }
    }
  }

  /**
   * Returns this box's reports on running orders.
   *
   * @returns One report for each order.
   */
  reports(): ReadonlyArray<RolloutReport> {
    return [...this.#orders.keys()].flatMap((service) => {
      const rollout = this.#options.rolloutOf(service);
      return rollout?.state === "running" ? [this.#updatedOrder(rollout).progress.report()] : [];
    });
  }

  #isTarget({ service, version }: Leaf): boolean {
    return this.#options.rolloutOf(service)?.targetVersion === version;
  }

  /** Returns why the order of the service, if any, blocks a leaf. */
  #causeByOrder(leaf: Leaf): VersionBlockCause | undefined {
    const rollout = this.#options.rolloutOf(leaf.service);
    if (rollout === undefined || leaf.version === undefined) {
      return undefined;
    }
    if (leaf.version === rollout.targetVersion) {
      return this.#targetCause(rollout);
    }
    if (rollout.retiredVersions.includes(leaf.version)) {
      return "retired";
    }
    return PHASE_RULES[this.#phaseOf(rollout)].baseline;
  }

  /** Returns why the target version may not be called. */
  #targetCause(rollout: Rollout): VersionBlockCause | undefined {
    const cause = PHASE_RULES[this.#phaseOf(rollout)].target;
    if (cause !== "withinCredit") {
      return cause;
    }
    const { hasHadBaseline, progress } = this.#updatedOrder(rollout);
    // A target that serves alone is completed without a comparison; a limit would only refuse
    // requests until then.
    return progress.hasCredit(rollout) || !hasHadBaseline ? undefined : "exposureLimit";
  }

  #hasBaseline({ retiredVersions, service, targetVersion }: Rollout): boolean {
    return this.#options.leafsOf(service).some(({ version }) => {
      return version !== targetVersion && !retiredVersions.includes(version ?? "");
    });
  }

  #phaseOf(rollout: Rollout): RolloutPhase {
    return this.#updatedOrder(rollout).progress.phase(rollout);
  }

  /** Returns what is known of an order, after confirming its attempt and logging its state. */
  #updatedOrder(rollout: Rollout): KnownOrder {
    const known = this.#orders.get(rollout.service);
    const isSameOrder = known?.progress.orderPosition === rollout.orderPosition;
    const order = known !== undefined && isSameOrder ? known : this.#newOrder(rollout);
    const hasConfirmed = order.progress.confirmIfDrained(rollout, () =>
      this.#openCalls.hasOther(rollout.service, rollout.targetVersion),
    );
    if (hasConfirmed) {
      this.#options.onConfirmed();
    }
    const phase = order.progress.phase(rollout);
    if (phase !== order.phase) {
      const fields = { ...order.progress.logFields(rollout), from: order.phase, to: phase };
      order.phase = phase;
      this.#options.telemetry.event("info", "rollouts: calls by version change", fields);
    }
    return order;
  }

  #newOrder(rollout: Rollout): KnownOrder {
    const { bounds, box, incarnation, nowMs, slackShare } = this.#options;
    const options = { bounds, box, incarnation, nowMs, slackShare: slackShare() };
    const progress = new OrderProgress(rollout, options);
    const order = { progress, phase: undefined, hasHadBaseline: this.#hasBaseline(rollout) };
    this.#orders.set(rollout.service, order);
    return order;
  }
}
