/**
 * Content of the boxes' datagrams besides members: what a box reports with each of them, and whom
 * it notifies of the reports of others.
 *
 * @module
 */
import type { EvacuationUpdate, FleetSize, Member, RolloutReport } from "../model/mod.js";
import type { ReportedCrashes } from "../quarantine/mod.js";
import { RolloutExchange, type RolloutExchangeOptions } from "./_rollout_exchange.js";
import type { FleetMessage, SyncProgress } from "./fleet_messages.js";

/** What a datagram contains about rollouts. */
export interface RolloutContent {
  /** Whether to include the orders besides their digest. */
  readonly hasOrders: boolean;
  readonly reports: ReadonlyArray<RolloutReport>;
}

/** Options of the content. */
export interface DatagramContentOptions extends RolloutExchangeOptions {
  readonly progress: () => SyncProgress;
  /** Returns the crash-inducing queries to report, at most as many as fit into a datagram. */
  readonly crashes: () => ReadonlyArray<ReportedCrashes>;
  /** Called with the crash-inducing queries that another box reports. */
  readonly onCrashes: (crashes: ReadonlyArray<ReportedCrashes>, sender: Member | undefined) => void;
  /** Returns the evacuated data centres; `undefined` if none was ever evacuated. */
  readonly evacuations: () => EvacuationUpdate | undefined;
  /** Called with the evacuations that another box reports. */
  readonly onEvacuations: (update: EvacuationUpdate, sender: Member | undefined) => void;
  /** Returns the size of the fleet; `undefined` while it is unknown. */
  readonly fleetSize: () => FleetSize | undefined;
  /** Called with the size of the fleet that another box reports. */
  readonly onFleetSize: (size: FleetSize, sender: Member | undefined) => void;
}

/** Content of the datagrams of one box. */
export class DatagramContent {
  readonly #options: DatagramContentOptions;
  readonly #rollouts: RolloutExchange;

  /**
   * @param options - Options of the content.
   */
  constructor(options: DatagramContentOptions) {
    this.#options = options;
    this.#rollouts = new RolloutExchange(options);
  }

  /**
   * Builds the content of a datagram.
   *
   * @param rollouts - What to include about rollouts.
   * @returns The content.
   */
  payload(rollouts: RolloutContent): Omit<FleetMessage, "kind" | "number" | "members"> {
    const { crashes, evacuations, fleetSize, progress } = this.#options;
    return {
      crashes: crashes(),
      evacuations: evacuations(),
      fleetSize: fleetSize(),
      progress: progress(),
      rollouts: this.#rollouts.message(rollouts),
    };
  }

  /**
   * Reports whether a box is known to have the orders of this box.
   *
   * @param member - The box.
   * @returns Whether it has them; also if rollouts are disabled.
   */
  hasSameOrders(member: Member): boolean {
    return this.#rollouts.hasSameOrders(member);
  }

  /**
   * Applies the content of a datagram.
   *
   * @param message - The datagram.
   * @param sender - Its sender.
   * @returns Whether the sender lacks orders of this box.
   */
  receive(message: FleetMessage, sender: Member | undefined): boolean {
    if (message.crashes.length > 0) {
      this.#options.onCrashes(message.crashes, sender);
    }
    if (message.evacuations !== undefined) {
      this.#options.onEvacuations(message.evacuations, sender);
    }
    if (message.fleetSize !== undefined) {
      this.#options.onFleetSize(message.fleetSize, sender);
    }
    return this.#rollouts.receive(message.rollouts, sender);
  }
}
