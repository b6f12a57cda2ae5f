/**
 * A box that asks leafs near it for another one, in virtual time.
 *
 * @module
 */
import type { AttemptOutcome, FailedPart, RelayedParts } from "../request/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { Without } from "./mechanism.js";
import type { ReplayBox } from "./replay_box.js";

/** What the relay runs on. */
export interface ReplayRelayOptions {
  readonly schedule: Schedule;
  readonly box: ReplayBox;
  readonly drawWorkMs: () => number;
  /** Longest time before what has come in is handed over, in milliseconds. */
  readonly patienceMs: number;
  readonly without: Without;
}

/** What is asked for, and who is told. */
export interface ReplayOrder {
  readonly services: ReadonlyArray<string>;
  readonly onParts: (parts: RelayedParts) => void;
  readonly onEnd: () => void;
}

const NO_RECORDS = Buffer.alloc(0);

const NONE_LOST: ReadonlyMap<string, FailedPart> = new Map();

const LOST_BY_OUTCOME: Readonly<Record<AttemptOutcome["kind"], FailedPart | undefined>> = {
  answered: undefined,
  refused: "refused",
  failed: "failed",
};

/** Times its usual time that a leaf has before the first parts are handed over, as in the box daemon. */
const PATIENCE_FACTOR = 1.8;

/** Added to that, in milliseconds. */
const PATIENCE_MS = 4;

/** One order under way. */
export class ReplayRelay {
  readonly #options: ReplayRelayOptions;
  readonly #order: ReplayOrder;
  #waiting: Array<string> = [];
  #queuesMs: Array<number> = [];
  #openCount = 0;
  #usualMs = 0;
  #hasFlushed = false;

  /**
   * @param options - What the relay runs on.
   * @param order - What is asked for, and who is told.
   */
  constructor(options: ReplayRelayOptions, order: ReplayOrder) {
    this.#options = options;
    this.#order = order;
  }

  /** Asks near leafs for the parts of the order's services. */
  start(): void {
    this.#openCount = this.#order.services.length;
    for (const service of this.#order.services) {
      this.#ask(service);
    }
    const usualMs = this.#usualMs * PATIENCE_FACTOR + PATIENCE_MS;
    const patienceMs = Math.min(this.#options.patienceMs, usualMs);
    this.#options.schedule.after(patienceMs, () => this.#flush());
  }

  #ask(service: string): void {
    const { box, drawWorkMs } = this.#options;
    const chosen = box.choose(service, { excluded: new Set(), isOnlyNear: true });
    if (chosen === undefined) {
      this.#tell([], new Map([[service, "declined"]]));
      this.#endOne();
      return;
    }
    this.#usualMs = Math.max(this.#usualMs, chosen.typicalLatencyMs);
    this.#queuesMs.push(chosen.queueMs);
    box.send({ leafId: chosen.leaf.leafId, workMs: drawWorkMs() }, (outcome) => {
      this.#take(service, outcome);
    });
  }

  #take(service: string, { kind }: AttemptOutcome): void {
    const why = LOST_BY_OUTCOME[kind];
    if (why === undefined) {
      this.#waiting.push(service);
    } else if (!this.#options.without.has("told-losses")) {
      this.#tell([], new Map([[service, why]]));
    }
    if (this.#hasFlushed) {
      this.#flush();
    }
    this.#endOne();
  }

  #endOne(): void {
    this.#openCount -= 1;
    if (this.#openCount === 0) {
      this.#flush();
      this.#order.onEnd();
    }
  }

  #flush(): void {
    this.#hasFlushed = true;
    const parts = this.#waiting;
    this.#waiting = [];
    this.#tell(parts, NONE_LOST);
  }

  #tell(services: ReadonlyArray<string>, lost: ReadonlyMap<string, FailedPart>): void {
    if (services.length + lost.size === 0) {
      return;
    }
    const signatures = new Map(services.map((service) => [service, `x ${service}`]));
    const told = this.#queuesMs.length === 0 ? {} : { queueMs: middleOf(this.#queuesMs) };
    this.#queuesMs = [];
    this.#order.onParts({ signatures, records: NO_RECORDS, failed: lost, ...told });
  }
}

function middleOf(values: ReadonlyArray<number>): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
