/**
 * Keeps the membership table by datagrams between boxes: each box asks one other in turn, answers
 * those who ask, and tells all at once when it is about to stop.
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
import type { EvacuationUpdate, Member, MemberState } from "../model/mod.js";
import type { ReportedCrashes } from "../quarantine/mod.js";
import {
  decodeFleetMessage,
  encodeFleetMessage,
  type FleetMessage,
  type FleetMessageKind,
  type SyncProgress,
} from "./fleet_messages.js";

/** Time between two questions to other boxes, in milliseconds. */
const ASK_EVERY_MS = 1_000;

/** Time that an asked box has for its answer, in milliseconds; the far region is 25 ms away. */
const ANSWER_MS = 300;

/**
 * Share of the questions that go to a box of the own region: bytes between regions have a price, and
 * a third of the questions to all carries news as far as it must go.
 */
const NEAR_SHARE = 0.67;

/** What the link needs of its box. */
export interface FleetLinkOptions {
  readonly self: Member;
  /** Tells where to ask before any other box is known. */
  readonly seeds: () => ReadonlyArray<string>;
  /** Port of the datagrams on every box. */
  readonly port: number;
  /** Tells whether a box is in this one's region. */
  readonly isLocal: (member: Member) => boolean;
  readonly nowMs: () => number;
  readonly progress: () => SyncProgress;
  /** Gives queries under which leafs were lost, no more than go into a datagram. */
  readonly crashes: () => ReadonlyArray<ReportedCrashes>;
  /** Told of such queries by another box. */
  readonly onCrashes: (told: ReadonlyArray<ReportedCrashes>, sender: Member | undefined) => void;
  /** Gives the data centres that are emptied; nothing where none ever was. */
  readonly evacuations: () => EvacuationUpdate | undefined;
  /** Told of these by another box. */
  readonly onEvacuations: (news: EvacuationUpdate, sender: Member | undefined) => void;
  /** Told how far another box is. */
  readonly onProgress: (member: Member, progress: SyncProgress) => void;
  /** Told when a member's state changes, as this box believes it. */
  readonly onMemberChange: (member: Member) => void;
  readonly onError: (message: string) => void;
}

/** The link to the other boxes. */
export class FleetLink {
  readonly #options: FleetLinkOptions;
  readonly #socket: Socket;
  #membership: Membership;
  #number = 0;
  #asked: { readonly number: number; readonly memberId: string } | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;
  /** When another box was last heard. */
  #heardAtMs = Number.NEGATIVE_INFINITY;
  #askAgainTimer: NodeJS.Timeout | undefined;

  /**
   * @param options - What the link needs of its box.
   */
  constructor(options: FleetLinkOptions) {
    this.#options = options;
    this.#membership = createMembership(options.self);
    this.#socket = createSocket("udp4");
  }

  /** Opens the socket and begins to ask. */
  async start(): Promise<void> {
    const { port, self, onError: onFault } = this.#options;
    this.#socket.on("message", (data, { address }) => this.#receive(data, address));
    this.#socket.on("error", (error) => onFault(error.message));
    await new Promise<void>((resolve) => this.#socket.bind(port, self.address, resolve));
    this.#timer = setInterval(() => this.#askNext(), ASK_EVERY_MS);
    for (const seed of this.#options.seeds()) {
      this.#ask(seed);
    }
  }

  /** Boxes that can be given work, this one included if it can. */
  alive(): ReadonlyArray<Member> {
    return aliveMembers(this.#membership, "entry");
  }

  /** All boxes heard of, this one included. */
  members(): ReadonlyArray<Member> {
    const others = [...this.#membership.records.values()].map(({ member }) => member);
    return [this.#membership.self, ...others];
  }

  /** Time for which no other box was heard, in milliseconds; 0 where none was ever heard. */
  get sinceLastContactMs(): number {
    return Number.isFinite(this.#heardAtMs) ? this.#options.nowMs() - this.#heardAtMs : 0;
  }

  /**
   * Changes this box's own state and tells all others at once.
   *
   * @param state - The new state.
   */
  announceState(state: MemberState): void {
    const { self, records } = this.#membership;
    this.#membership = { self: { ...self, state, version: self.version + 1 }, records };
    this.requestUpdates([...records.values()].map(({ member }) => member));
  }

  /**
   * Tells boxes how far this one is, without a question.
   *
   * @param members - The boxes.
   */
  sendUpdate(members: ReadonlyArray<Member>): void {
    const { port } = this.#options;
    const { self } = this.#membership;
    if (this.#isStopped) {
      return;
    }
    const data = encodeFleetMessage({ kind: "news", number: 0, members: [self], ...this.#known() });
    for (const { address } of members) {
      this.#socket.send(data, port, address);
    }
  }

  /**
   * Asks boxes at once what they know: after a suspension this one's own knowledge is old.
   *
   * @param members - The boxes.
   */
  requestUpdates(members: ReadonlyArray<Member>): void {
    for (const { address } of members) {
      this.#ask(address);
    }
  }

  /** Ends the link. */
  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#askAgainTimer);
    this.#isStopped = true;
    this.#socket.close();
  }

  #askNext(): void {
    const { nowMs, seeds } = this.#options;
    const before = this.#membership;
    const silent = this.#asked;
    if (silent !== undefined) {
      this.#membership = suspectMember(this.#membership, silent.memberId, { nowMs: nowMs() });
      this.#asked = undefined;
    }
    this.#membership = expireMembers(this.#membership, { nowMs: nowMs() });
    this.#tellChanges(before);
    const candidates = [...this.#membership.records.values()]
      .map(({ member }) => member)
      .filter(({ state }) => state !== "dead");
    const near = candidates.filter((member) => this.#options.isLocal(member));
    const asked = near.length > 0 && Math.random() < NEAR_SHARE ? near : candidates;
    const chosen = asked[pick(asked.length)];
    if (chosen === undefined) {
      for (const seed of seeds()) {
        this.#ask(seed);
      }
      return;
    }
    const number = this.#ask(chosen.address);
    this.#askAgainTimer = setTimeout(() => {
      const late = this.#asked?.number === number ? this.#asked : undefined;
      if (late !== undefined) {
        this.#ask(chosen.address, { number: late.number });
      }
    }, ANSWER_MS);
    this.#asked = { number, memberId: chosen.memberId };
  }

  /** Tells of members whose state this box has changed by itself. */
  #tellChanges(before: Membership): void {
    if (before.records === this.#membership.records) {
      return;
    }
    for (const { member } of this.#membership.records.values()) {
      if (before.records.get(member.memberId)?.member.state !== member.state) {
        this.#options.onMemberChange(member);
      }
    }
  }

  #ask(address: string, { number }: { readonly number?: number } = {}): number {
    if (number === undefined) {
      this.#number += 1;
    }
    const asked = number ?? this.#number;
    this.#send("ask", asked, address);
    return asked;
  }

  #send(kind: FleetMessageKind, number: number, address: string): void {
    const { membership, piggybackMembers: riders } = selectPiggybackMembers(this.#membership, pick);
    this.#membership = membership;
    const members = [membership.self, ...riders];
    const message = { kind, number, members, ...this.#known() };
    this.#socket.send(encodeFleetMessage(message), this.#options.port, address);
  }

  /** What each datagram tells besides members. */
  #known(): Pick<FleetMessage, "crashes" | "evacuations" | "progress"> {
    const { crashes, evacuations, progress } = this.#options;
    return { crashes: crashes(), evacuations: evacuations(), progress: progress() };
  }

  #receive(data: Buffer, address: string): void {
    const message = decodeFleetMessage(data);
    if (message === undefined) {
      this.#options.onError(`Cannot read a datagram from "${address}"`);
      return;
    }
    const { nowMs, onMemberChange: onMember, onProgress } = this.#options;
    this.#heardAtMs = nowMs();
    const heard = mergeMembers(this.#membership, message.members, { nowMs: nowMs() });
    this.#membership = heard.membership;
    heard.changed.forEach(onMember);
    const sender = message.members[0];
    if (message.crashes.length > 0) {
      this.#options.onCrashes(message.crashes, sender);
    }
    if (message.evacuations !== undefined) {
      this.#options.onEvacuations(message.evacuations, sender);
    }
    if (message.kind === "ask") {
      this.#send("answer", message.number, address);
    } else if (message.number === this.#asked?.number) {
      this.#asked = undefined;
      clearTimeout(this.#askAgainTimer);
    }
    if (sender !== undefined) {
      onProgress(sender, message.progress);
    }
  }
}

function pick(count: number): number {
  return Math.floor(Math.random() * count);
}
