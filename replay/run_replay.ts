/**
 * Runs a load pattern: callers by seeded arrivals, boxes with the decision core, leafs as queues.
 *
 * @module
 */

import { queueAllowancesMs } from "../admission/mod.js";
import type { Leaf } from "../leafs/mod.js";
import type { Reply, RequestTerms } from "../request/mod.js";
import type { Route } from "../routing/mod.js";
import { Schedule } from "../virtual_time/mod.js";
import { Account, type TryEnd } from "./account.js";
import type { LoadPattern, QueryKind } from "./load_pattern.js";
import type { Without } from "./mechanism.js";
import { ReplayBox } from "./replay_box.js";
import { ReplayLeaf } from "./replay_leaf.js";
import { ReplayQuery } from "./replay_query.js";

/** Regions of a pattern. */
const REGIONS = 3;

/** Spread of the time that leafs work, as the standard deviation of its logarithm. */
const WORK_SPREAD = 0.35;

/** Added to the seed of a run for the draws of callers and of leafs. */
const CALLER_SEEDS = 10_000;
const LEAF_SEEDS = 20_000;

/** How a run is made. */
export interface ReplayOptions {
  readonly seed: number;
  /** Mechanisms that the run goes without; none by default. */
  readonly without?: Without;
}

/**
 * Runs a pattern.
 *
 * @param pattern - The pattern.
 * @param options - Seed, and what the run goes without.
 * @returns What callers got.
 */
export function runReplay(
  pattern: LoadPattern,
  { seed, without = new Set() }: ReplayOptions,
): Account {
  const run = new ReplayRun(pattern, { seed, without });
  return run.run();
}

/** One run; leafs and callers are the same for the same seed, whatever the run goes without. */
class ReplayRun {
  readonly #pattern: LoadPattern;
  readonly #without: Without;
  readonly #schedule: Schedule;
  /** Draws of their own for callers and for leafs, so that runs with other mechanisms meet the same ones. */
  readonly #callerDraws: Schedule;
  readonly #leafDraws: Schedule;
  readonly #account = new Account();
  readonly #services: ReadonlyArray<string>;
  readonly #boxesByRegion: ReadonlyArray<ReadonlyArray<ReplayBox>>;
  readonly #routes: ReadonlyMap<string, Route>;
  readonly #allowancesMs: ReadonlyMap<string, number>;
  #nextRequest = 1;

  constructor(pattern: LoadPattern, { seed, without }: Required<ReplayOptions>) {
    this.#pattern = pattern;
    this.#without = without;
    this.#schedule = new Schedule(seed);
    this.#callerDraws = new Schedule(seed + CALLER_SEEDS);
    this.#leafDraws = new Schedule(seed + LEAF_SEEDS);
    this.#services = Array.from({ length: pattern.shards }, (_, index) => `shard ${index}`);
    this.#boxesByRegion = this.#makeBoxes();
    const routes = pattern.kinds.map((kind) => routeOf(kind, this.#services));
    this.#routes = new Map(routes.map((route) => [route.name, route]));
    this.#allowancesMs = queueAllowancesMs(
      pattern.kinds.map((kind) => ({ ...kind, shards: this.#services })),
    );
  }

  run(): Account {
    const { lengthMs, restart } = this.#pattern;
    this.#schedule.after(0, () => this.#arrive());
    if (restart !== undefined) {
      this.#schedule.after(restart.atMs, () => {
        for (const box of this.#boxesByRegion.flat()) {
          box.forget();
        }
      });
    }
    while (this.#schedule.nowMs < 2 * lengthMs && this.#schedule.runNext()) {
      // All is done by what was planned.
    }
    return this.#account;
  }

  #makeBoxes(): ReadonlyArray<ReadonlyArray<ReplayBox>> {
    const { boxesInRegion, copies = 2, leafRegions } = this.#pattern;
    const { slackCalls, slackSharers, slots } = this.#pattern;
    const leafsByService = new Map<string, ReadonlyArray<Leaf>>();
    const models = new Map<string, ReplayLeaf>();
    for (const [index, service] of this.#services.entries()) {
      const leafs = Array.from({ length: copies }, (_, copy) => {
        const region = leafRegions[(index + copy) % leafRegions.length] ?? 0;
        return leafOf(service, { copy, region, slots });
      });
      leafsByService.set(service, leafs);
      for (const { leafId } of leafs) {
        models.set(leafId, this.#makeLeaf(leafId));
      }
    }
    return Array.from({ length: REGIONS }, (_, region) => {
      return Array.from({ length: boxesInRegion }, () => {
        const given = { slackSharers, slackCalls, leafsByService, models };
        return new ReplayBox({
          ...{ schedule: this.#schedule, region, without: this.#without },
          ...given,
        });
      });
    });
  }

  #makeLeaf(leafId: string): ReplayLeaf {
    const { faults, pauseEveryMs, pauseMs, slots, spells } = this.#pattern;
    const schedule = this.#schedule;
    const struck = faults.filter(({ leafShare }) => this.#leafDraws.chance(leafShare));
    const pausesAtMs = this.#leafDraws.int(0, pauseEveryMs);
    return new ReplayLeaf({
      ...{ schedule, slots, pauseMs, pauseEveryMs, pausesAtMs, faults: struck },
      spells: spells && { ...spells, seed: leafId },
    });
  }

  #arrive(): void {
    const { bursts, lengthMs, perSecond } = this.#pattern;
    const now = this.#schedule.nowMs;
    if (now >= lengthMs) {
      return;
    }
    const kind = this.#drawKind();
    this.#account.ask(kind);
    this.#try(kind, { firstAtMs: now, isRetry: false });
    const active = bursts.filter(({ fromMs, untilMs }) => fromMs <= now && now < untilMs);
    const factor = Math.max(1, ...active.map((burst) => burst.factor));
    const draw = uniform(this.#callerDraws);
    this.#schedule.after((-Math.log(draw) * 1_000) / (perSecond * factor), () => {
      this.#arrive();
    });
  }

  #try(kind: QueryKind, { firstAtMs, isRetry }: CallerTry): void {
    const box = this.#schedule.pick(this.#boxesByRegion.flat());
    const startedAtMs = this.#schedule.nowMs;
    this.#coldWork(box);
    box.whenFree(() => {
      for (const service of this.#services) {
        box.credit(service);
      }
      const query = new ReplayQuery({
        ...{ schedule: this.#schedule, box, boxesByRegion: this.#boxesByRegion },
        ...{ without: this.#without, services: this.#services },
        terms: this.#termsOf(kind, startedAtMs),
        drawWorkMs: () => this.#drawWorkMs(kind),
        onReply: (reply) => {
          const now = this.#schedule.nowMs;
          const heldMs = now - startedAtMs;
          this.#replied(kind, reply, { firstAtMs, isRetry, heldMs });
        },
      });
      query.take({ kind: "started" });
    });
  }

  #coldWork(box: ReplayBox): void {
    const { restart } = this.#pattern;
    const sinceMs = this.#schedule.nowMs - (restart?.atMs ?? Number.POSITIVE_INFINITY);
    if (restart !== undefined && sinceMs >= 0 && sinceMs < restart.coldForMs) {
      box.compute(restart.busyMs * (1 - sinceMs / restart.coldForMs));
    }
  }

  #termsOf(kind: QueryKind, arrivedAtMs: number): RequestTerms {
    const route = this.#routes.get(kind.name) ?? routeOf(kind, this.#services);
    const allowanceMs = this.#allowancesMs.get(kind.name) ?? Number.POSITIVE_INFINITY;
    return {
      ...{ requestId: String(this.#nextRequest++), route, arrivedAtMs, finishShare: 1 },
      ...{ objectiveAtMs: arrivedAtMs + kind.aimMs, deadlineAtMs: arrivedAtMs + kind.deadlineMs },
      maxAttempts: route.maxAttempts,
      maxQueueMs: this.#without.has("refusals") ? Number.POSITIVE_INFINITY : allowanceMs,
    };
  }

  /** A caller that was not served comes back once: when it was told to, or at once. */
  #replied(kind: QueryKind, reply: Reply, { firstAtMs, heldMs, isRetry }: EndedTry): void {
    const sinceFirstMs = this.#schedule.nowMs - firstAtMs;
    const end = (endKind: TryEnd["kind"], coverage: number): void => {
      this.#account.end(kind, { kind: endKind, coverage, sinceFirstMs, heldMs, isRetry });
    };
    if (reply.kind === "merged") {
      end("answered", 1 - reply.missingParts / this.#services.length);
      return;
    }
    const isRefused = reply.kind === "notRun";
    if (isRetry) {
      end(isRefused ? "refused" : "failed", 0);
      return;
    }
    const afterMs = isRefused ? reply.retryAfterMs : 0;
    this.#schedule.after(afterMs, () => this.#try(kind, { firstAtMs, isRetry: true }));
  }

  #drawKind(): QueryKind {
    let left = uniform(this.#callerDraws);
    for (const kind of this.#pattern.kinds) {
      left -= kind.share;
      if (left <= 0) {
        return kind;
      }
    }
    return this.#schedule.pick(this.#pattern.kinds);
  }

  /** Log-normal around the kind's mean (Box and Muller, 1958). */
  #drawWorkMs({ workMs }: QueryKind): number {
    const radius = Math.sqrt(-2 * Math.log(uniform(this.#schedule)));
    const normal = radius * Math.cos(2 * Math.PI * uniform(this.#schedule));
    return workMs * Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2);
  }
}

/** Draws a number between 0 and 1, neither included. */
function uniform(draws: Schedule): number {
  return draws.int(1, 1_000_000) / 1_000_001;
}

/** A caller's try that begins. */
interface CallerTry {
  readonly firstAtMs: number;
  readonly isRetry: boolean;
}

/** A caller's try that has ended. */
interface EndedTry extends CallerTry {
  readonly heldMs: number;
}

function leafOf(
  service: string,
  { copy, region, slots }: Readonly<Record<"copy" | "region" | "slots", number>>,
): Leaf {
  return {
    ...{ leafId: `${service} copy ${copy}`, service, address: "", port: 0, slots },
    ...{ dataCentre: String(region), draining: false, warmingForMs: 0 },
    ...{ bornAtEpochMs: 0, entryRevision: 0, sequence: 0 },
  };
}

function routeOf(kind: QueryKind, shards: ReadonlyArray<string>): Route {
  const { aimMs, deadlineMs, leastShare, name, priorityRank } = kind;
  return {
    ...{ name, host: "h", prefix: `/${name}/`, repeatable: true, maxAttempts: 2 },
    ...{ timeoutMs: deadlineMs, aimMs, priorityRank, homes: [] },
    target: { kind: "gather", shards, topRecords: 1, leastShare },
  };
}
