/**
 * Exchange of the orders of rollouts and of reports with other boxes, as part of their datagrams.
 *
 * @module
 */
import type { Member, RolloutReport, RolloutUpdate } from "../model/mod.js";
import {
  lacksOrders,
  type RolloutMessage,
  rolloutDigest,
  toRolloutMessage,
  toRolloutUpdate,
} from "./rollout_messages.js";

/** Options of the exchange. */
export interface RolloutExchangeOptions {
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Returns the orders of rollouts; `undefined` if rollouts are disabled. */
  readonly rollouts: () => RolloutUpdate | undefined;
  /** Called with the orders of rollouts that another box reports. */
  readonly onRollouts: (update: RolloutUpdate, sender: Member | undefined) => void;
  /** Called with reports on rollouts of another box. */
  readonly onRolloutReports: (
    reports: ReadonlyArray<RolloutReport>,
    sender: Member | undefined,
  ) => void;
}

/** The orders of this box and what the others have. */
export class RolloutExchange {
  readonly #options: RolloutExchangeOptions;
  /** Last digest of each box that has orders, by its id. */
  readonly #digests = new Map<string, number>();

  /**
   * @param options - Options of the exchange.
   */
  constructor(options: RolloutExchangeOptions) {
    this.#options = options;
  }

  /**
   * Builds the value of a datagram.
   *
   * @param options - Reports, and whether to include the orders besides their digest.
   * @returns The value; `undefined` if rollouts are disabled.
   */
  message(options: {
    readonly hasOrders: boolean;
    readonly reports: ReadonlyArray<RolloutReport>;
  }): RolloutMessage | undefined {
    const { nowMs, rollouts } = this.#options;
    return toRolloutMessage(rollouts(), { ...options, nowMs: nowMs() });
  }

  /**
   * Reports whether a box is known to have the orders of this box, so that the digest suffices.
   *
   * @param member - The box.
   * @returns Whether its last datagram had the same digest; also if rollouts are disabled.
   */
  hasSameOrders({ memberId }: Member): boolean {
    const own = this.#options.rollouts();
    return own === undefined || this.#digests.get(memberId) === rolloutDigest(own);
  }

  /**
   * Applies the value of a datagram.
   *
   * @param message - The value; `undefined` from an earlier build.
   * @param sender - Sender of the datagram.
   * @returns Whether the sender lacks orders of this box.
   */
  receive(message: RolloutMessage | undefined, sender: Member | undefined): boolean {
    const { nowMs, onRolloutReports, onRollouts, rollouts } = this.#options;
    const own = rollouts();
    if (own === undefined || message === undefined) {
      return false;
    }
    if (sender !== undefined) {
      this.#record(sender, message);
    }
    const update = toRolloutUpdate(message, { nowMs: nowMs(), own });
    if (update !== undefined) {
      onRollouts(update, sender);
    }
    if (message.reports.length > 0) {
      onRolloutReports(message.reports, sender);
    }
    return lacksOrders(rollouts(), message);
  }

  #record({ memberId, state }: Member, { digest, position }: RolloutMessage): void {
    if (position > 0 && state !== "leaving" && state !== "dead") {
      this.#digests.set(memberId, digest);
    } else {
      this.#digests.delete(memberId);
    }
  }
}
