import t from "tap";
import TinyQueue from "tinyqueue";
import { aliveMembers } from "../membership/mod.js";
import type { Member } from "../model/mod.js";
import {
  ADDRESS_LIST_GRACE_MS,
  type ControlEvent,
  type ControlState,
  newControl,
  stepControl,
} from "./mod.js";

/** Delivery time of a message between daemons, in milliseconds. */
const HOP_MS = 5;

/** Time within which all daemons know one another, in milliseconds. */
const SETTLE_MS = 30_000;

interface Delivery {
  readonly atMs: number;
  readonly to: string;
  readonly event: (nowMs: number) => ControlEvent;
}

/** Control cores of several boxes that exchange messages in virtual time, without loss. */
class Fleet {
  readonly #states = new Map<string, ControlState>();
  readonly #deliveries = new TinyQueue<Delivery>([], (a, b) => a.atMs - b.atMs);
  #nowMs = 0;

  constructor(boxCount: number, seed: number) {
    const members = Array.from({ length: boxCount }, (_, index) => {
      return [member(`box-${index}`, "entry", seed), member(`box-${index}`, "pool", seed)];
    }).flat();
    for (const [index, self] of members.entries()) {
      // Start times are staggered, so that regular exchanges do not coincide.
      const startMs = (index * 137 + seed * 61) % 1_000;
      const seeds = members.slice(0, 3).map(({ address, peerPort }) => ({ address, peerPort }));
      this.#states.set(addressOf(self), newControl({ self, seeds }));
      this.#post(addressOf(self), (nowMs) => ({ kind: "started", nowMs }), startMs);
      this.#post(
        addressOf(self),
        (nowMs) => {
          return {
            kind: "platformAnswered",
            nowMs,
            objects: [],
            boxList: undefined,
            complete: true,
          };
        },
        startMs,
      );
    }
  }

  /** Advances virtual time. */
  run(untilMs: number): void {
    for (;;) {
      const next = this.#deliveries.peek();
      if (next === undefined || next.atMs > untilMs) {
        this.#nowMs = untilMs;
        return;
      }
      this.#deliveries.pop();
      this.#nowMs = next.atMs;
      this.#deliver(next.to, next.event(next.atMs));
    }
  }

  stop(to: string): void {
    this.#deliver(to, { kind: "stopRequested", nowMs: this.#nowMs });
  }

  /** Entries that still list an entry to callers. */
  listing(memberId: string): ReadonlyArray<string> {
    return [...this.#states.values()]
      .filter(({ membership }) => {
        const alive = aliveMembers(membership, "entry").map((entry) => entry.memberId);
        return membership.self.role === "entry" && alive.includes(memberId);
      })
      .map(({ membership }) => membership.self.memberId);
  }

  #post(to: string, event: Delivery["event"], delayMs = 0): void {
    this.#deliveries.push({ atMs: this.#nowMs + delayMs, to, event });
  }

  #deliver(to: string, event: ControlEvent): void {
    const before = this.#states.get(to);
    if (before === undefined) {
      return;
    }
    const { state, effects } = stepControl(before, event);
    this.#states.set(to, state);
    for (const effect of effects) {
      if (effect.kind === "setTimer" && effect.timer.kind === "controlTick") {
        this.#post(to, (nowMs) => ({ kind: "controlTick", nowMs }), effect.delayMs);
      } else if (effect.kind === "exchange") {
        const from = addressOf(state.membership.self);
        const { exchange, peer } = effect;
        this.#post(
          addressOf(peer),
          (nowMs) => ({ kind: "exchangeArrived", nowMs, requestId: requestIdOf(from), exchange }),
          HOP_MS,
        );
      } else if (effect.kind === "replyExchange") {
        const { address, peerPort } = state.membership.self;
        const { exchange, requestId } = effect;
        this.#post(
          addressOfRequest(requestId),
          (nowMs) => {
            return { kind: "exchangeAnswered", nowMs, peer: { address, peerPort }, exchange };
          },
          HOP_MS,
        );
      }
    }
  }
}

function addressOf({ address, peerPort }: Pick<Member, "address" | "peerPort">): string {
  return `${address}:${peerPort}`;
}

/** Encodes the sender's address as a request ID, to route the reply. */
function requestIdOf(from: string): number {
  const [address = "", port = ""] = from.split(":");
  return Number(address.split(".")[3]) * 10 + (Number(port) - 7000);
}

function addressOfRequest(requestId: number): string {
  return `10.0.0.${Math.floor(requestId / 10)}:${7000 + (requestId % 10)}`;
}

function member(box: string, role: "entry" | "pool", seed: number): Member {
  return {
    memberId: `${box}/${role}`,
    incarnation: `${box}/${role}/${seed}`,
    startedAtEpochMs: 1,
    version: 1,
    state: "joining",
    role,
    box,
    dataCentre: "here",
    address: `10.0.0.${Number(box.slice(4)) + 1}`,
    peerPort: role === "entry" ? 7000 : 7001,
    callerPort: 8000,
  };
}

const SIZES = [
  { boxCount: 3, seeds: 40 },
  { boxCount: 7, seeds: 40 },
  { boxCount: 40, seeds: 3 },
] as const;

t.test("no entry lists a leaving entry to callers after the grace time", async (t) => {
  for (const { boxCount, seeds } of SIZES) {
    for (let seed = 1; seed <= seeds; seed++) {
      const fleet = new Fleet(boxCount, seed);
      fleet.run(SETTLE_MS);
      t.equal(fleet.listing("box-0/entry").length, boxCount, `${boxCount} boxes, seed ${seed}`);
      fleet.stop("10.0.0.1:7000");
      fleet.run(SETTLE_MS + ADDRESS_LIST_GRACE_MS);
      const remaining = fleet.listing("box-0/entry");
      t.same(remaining, [], `${boxCount} boxes, seed ${seed}: still listed`);
    }
  }
});
