/**
 * Maintains the membership table by gossip over UDP: each box sends a request to one other box per
 * interval, answers requests, and notifies all boxes immediately before it stops.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import {
  aliveMembers,
  createMembership,
  expireMembers,
  type Membership,
  mergeMembers,
  selectPiggybackMembers,
  suspectMember,
} from "../membership/mod.js";
import type { Member, MemberState, RolloutReport } from "../model/mod.js";
import {
  DatagramContent,
  type DatagramContentOptions,
  type RolloutContent,
} from "./_datagram_content.js";
import { RequestTracker } from "./_request_tracker.js";
import { UpdateBatch } from "./_update_batch.js";
import {
  decodeFleetMessage,
  encodeFleetMessage,
  type FleetMessageKind,
  type SyncProgress,
} from "./fleet_messages.js";

/** Interval between requests to other boxes, in milliseconds. */
const REQUEST_INTERVAL_MS = 1_000;

/** Share of the requests that go to a box in this region, as traffic between regions is charged. */
const LOCAL_SHARE = 0.67;

/** Options of a fleet link. */
export interface FleetLinkOptions extends DatagramContentOptions {
  readonly self: Member;
  /** Returns the addresses to contact while no other box is known. */
  readonly seeds: () => ReadonlyArray<string>;
  /** UDP port, the same on every box. */
  readonly port: number;
  /** Returns whether a box is in this box's region. */
  readonly isLocal: (member: Member) => boolean;
  /** Called with the versions of stored data that another box has. */
  readonly onProgress: (member: Member, progress: SyncProgress) => void;
  /** Called after a box has answered a request of this one and its state was merged. */
  readonly onAnswer: () => void;
  /** Called when the state of a member changes in this box's view. */
  readonly onMemberChange: (member: Member) => void;
  readonly onError: (message: string) => void;
}

/** Link of one box to the other boxes of the fleet. */
export class FleetLink {
  readonly #options: FleetLinkOptions;
  readonly #socket: Socket;
  #membership: Membership;
  readonly #requests: RequestTracker;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;
  /** Time of the last datagram from another box. */
  #lastContactAtMs = Number.NEGATIVE_INFINITY;
  readonly #content: DatagramContent;
  readonly #updates = new UpdateBatch((members) => this.sendUpdate(members));

  /**
   * @param options - Options of the link.
   */
  constructor(options: FleetLinkOptions) {
    this.#options = options;
    this.#content = new DatagramContent(options);
    this.#requests = new RequestTracker({
      nowMs: options.nowMs,
      send: (address, number) => this.#send("ask", number, { address }),
    });
    this.#membership = createMembership(options.self);
    this.#socket = createSocket("udp4");
  }

  /** Opens the socket and starts sending requests. */
  async start(): Promise<void> {
    const { port, self, onError } = this.#options;
    this.#socket.on("message", (data, { address }) => this.#receive(data, address));
    this.#socket.on("error", (error) => onError(error.message));
    await new Promise<void>((resolve) => this.#socket.bind(port, self.address, resolve));
    this.#timer = setInterval(() => this.#requestNext(), REQUEST_INTERVAL_MS);
    for (const seed of this.#options.seeds()) {
      this.#requests.send(seed);
    }
  }

  /** Returns the boxes that accept work, including this one if it does. */
  alive(): ReadonlyArray<Member> {
    return aliveMembers(this.#membership, "entry");
  }

  /** Returns all known boxes, including this one. */
  members(): ReadonlyArray<Member> {
    const others = [...this.#membership.records.values()].map(({ member }) => member);
    return [this.#membership.self, ...others];
  }

  /** Time since the last contact with another box, in milliseconds; 0 if there has been none. */
  get sinceLastContactMs(): number {
    return Number.isFinite(this.#lastContactAtMs)
      ? this.#options.nowMs() - this.#lastContactAtMs
      : 0;
  }

  /**
   * Returns the round-trip time to a data centre.
   *
   * @param dataCentre - The data centre.
   * @returns The time in milliseconds, or `undefined` if no box there has answered yet.
   */
  roundTripMs(dataCentre: string): number | undefined {
    return this.#requests.roundTripMs(dataCentre);
  }

  /**
   * Changes the state of this box and notifies all other boxes immediately.
   *
   * @param state - New state.
   */
  announceState(state: MemberState): void {
    const { self, records } = this.#membership;
    this.#membership = { self: { ...self, state, version: self.version + 1 }, records };
    this.requestUpdates([...records.values()].map(({ member }) => member));
  }

  /**
   * Sends the current state of this box to other boxes, without expecting an answer.
   *
   * @param members - Boxes to notify.
   */
  sendUpdate(members: ReadonlyArray<Member>): void {
    this.sendRollouts(members, { reports: [] });
  }

  /**
   * Sends the current state of this box to other boxes after a short time, in which further changes
   * are combined with it.
   *
   * @param members - Returns the boxes to notify.
   */
  sendUpdateSoon(members: () => ReadonlyArray<Member>): void {
    this.#updates.add(members);
  }

  /**
   * Sends the current state of this box, with reports on rollouts, to other boxes, without
   * expecting an answer. Boxes that are not known to have the same orders receive these as well.
   *
   * @param members - Boxes to notify.
   * @param options - Reports to send.
   */
  sendRollouts(
    members: ReadonlyArray<Member>,
    { reports }: { readonly reports: ReadonlyArray<RolloutReport> },
  ): void {
    const [current, others] = partition(members, (member) => this.#content.hasSameOrders(member));
    this.#sendNews(current, { hasOrders: false, reports });
    this.#sendNews(others, { hasOrders: true, reports });
  }

  /**
   * Requests the current state of other boxes immediately, as this box's own may be outdated after
   * a suspension.
   *
   * @param members - Boxes to contact.
   */
  requestUpdates(members: ReadonlyArray<Member>): void {
    for (const { address } of members) {
      this.#requests.send(address);
    }
  }

  /** Stops the link and closes the socket. */
  stop(): void {
    clearInterval(this.#timer);
    this.#requests.stop();
    this.#updates.stop();
    this.#isStopped = true;
    this.#socket.close();
  }

  #requestNext(): void {
    const { nowMs, seeds } = this.#options;
    const before = this.#membership;
    const unanswered = this.#requests.takeUnanswered();
    if (unanswered !== undefined) {
      this.#membership = suspectMember(this.#membership, unanswered, { nowMs: nowMs() });
    }
    this.#membership = expireMembers(this.#membership, { nowMs: nowMs() });
    this.#reportChanges(before);
    const candidates = [...this.#membership.records.values()]
      .map(({ member }) => member)
      .filter(({ state }) => state !== "dead");
    const local = candidates.filter((member) => this.#options.isLocal(member));
    const eligible = local.length > 0 && Math.random() < LOCAL_SHARE ? local : candidates;
    const target = eligible[randomInt(eligible.length)];
    if (target === undefined) {
      for (const seed of seeds()) {
        this.#requests.send(seed);
      }
      return;
    }
    this.#requests.sendTracked(target);
  }

  /** Reports members whose state this box has changed by a timeout. */
  #reportChanges(before: Membership): void {
    if (before.records === this.#membership.records) {
      return;
    }
    for (const { member } of this.#membership.records.values()) {
      if (before.records.get(member.memberId)?.member.state !== member.state) {
        this.#options.onMemberChange(member);
      }
    }
  }

  #sendNews(members: ReadonlyArray<Member>, content: RolloutContent): void {
    if (this.#isStopped || members.length === 0) {
      return;
    }
    const own = { kind: "news", number: 0, members: [this.#membership.self] } as const;
    const data = encodeFleetMessage({ ...own, ...this.#content.payload(content) });
    for (const { address } of members) {
      this.#socket.send(data, this.#options.port, address);
    }
  }

  #send(
    kind: FleetMessageKind,
    number: number,
    { address, hasOrders = false }: { readonly address: string; readonly hasOrders?: boolean },
  ): void {
    const { membership, piggybackMembers } = selectPiggybackMembers(this.#membership, randomInt);
    this.#membership = membership;
    const members = [membership.self, ...piggybackMembers];
    const message = { kind, number, members, ...this.#content.payload({ hasOrders, reports: [] }) };
    this.#socket.send(encodeFleetMessage(message), this.#options.port, address);
  }

  #receive(data: Buffer, address: string): void {
    const message = decodeFleetMessage(data);
    if (message === undefined) {
      this.#options.onError(`Cannot decode datagram from "${address}"`);
      return;
    }
    const { nowMs, onMemberChange, onProgress } = this.#options;
    this.#lastContactAtMs = nowMs();
    const merged = mergeMembers(this.#membership, message.members, { nowMs: nowMs() });
    this.#membership = merged.membership;
    merged.changed.forEach(onMemberChange);
    const sender = message.members[0];
    const lacksOrders = this.#content.receive(message, sender);
    if (message.kind === "ask") {
      this.#send("answer", message.number, { address, hasOrders: lacksOrders });
    } else {
      this.#requests.recordAnswer(message.number, sender);
    }
    if (message.kind === "answer") {
      this.#options.onAnswer();
    }
    if (message.kind === "answer" && lacksOrders && sender !== undefined) {
      // Both boxes may have known something new; updates are not answered, so this ends here.
      this.sendUpdate([sender]);
    }
    if (sender !== undefined) {
      onProgress(sender, message.progress);
    }
  }
}

function partition<T>(
  items: ReadonlyArray<T>,
  isFirst: (item: T) => boolean,
): readonly [ReadonlyArray<T>, ReadonlyArray<T>] {
  return [items.filter(isFirst), items.filter((item) => !isFirst(item))];
}

function randomInt(count: number): number {
  return Math.floor(Math.random() * count);
}
