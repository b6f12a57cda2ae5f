/**
 * Runs a load pattern: seeded arrivals of queries, boxes with the decision core, and leafs as queues.
 *
 * @module
 */

import { queueAllowancesMs } from "../admission/mod.js";
import type { Leaf } from "../leafs/mod.js";
import type { Reply, RequestTerms } from "../request/mod.js";
import type { Route } from "../routing/mod.js";
import { Schedule } from "../virtual_time/mod.js";
import type { LoadPattern, QueryKind } from "./load_pattern.js";
import type { DisabledMechanisms } from "./mechanism.js";
import { ReplayBox } from "./replay_box.js";
import { ReplayLeaf } from "./replay_leaf.js";
import { ReplayQuery } from "./replay_query.js";
import { type AttemptResult, ReplayScore } from "./replay_score.js";

/** Number of regions of every pattern. */
const REGIONS = 3;

/** Standard deviation of the logarithm of processing time. */
const WORK_LOG_STDDEV = 0.35;

/** Added to the seed of a run for the random draws of callers and of leafs. */
const CALLER_SEED_OFFSET = 10_000;
const LEAF_SEED_OFFSET = 20_000;

/** Options of {@linkcode runReplay}. */
export interface ReplayOptions {
  readonly seed: number;
  /** Mechanisms to disable; none by default. */
  readonly disabled?: DisabledMechanisms;
}

/**
 * Runs a load pattern.
 *
 * @param pattern - The load pattern.
 * @param options - Seed and disabled mechanisms.
 * @returns Score of the run.
 */
export function runReplay(
  pattern: LoadPattern,
  { seed, disabled = new Set() }: ReplayOptions,
): ReplayScore {
  const run = new ReplayRun(pattern, { seed, disabled });
  return run.run();
}

/** One run. Leafs and callers are the same for the same seed, whichever mechanisms are disabled. */
class ReplayRun {
  readonly #pattern: LoadPattern;
  readonly #disabled: DisabledMechanisms;
  readonly #schedule: Schedule;
  /** Separate random sources for callers and leafs, so that disabling a mechanism does not change them. */
  readonly #callerRandom: Schedule;
  readonly #leafRandom: Schedule;
  readonly #score = new ReplayScore();
  readonly #services: ReadonlyArray<string>;
  readonly #boxesByRegion: ReadonlyArray<ReadonlyArray<ReplayBox>>;
  readonly #routes: ReadonlyMap<string, Route>;
  readonly #allowancesMs: ReadonlyMap<string, number>;
  #nextRequest = 1;

  constructor(pattern: LoadPattern, { seed, disabled }: Required<ReplayOptions>) {
    this.#pattern = pattern;
    this.#disabled = disabled;
    this.#schedule = new Schedule(seed);
    this.#callerRandom = new Schedule(seed + CALLER_SEED_OFFSET);
    this.#leafRandom = new Schedule(seed + LEAF_SEED_OFFSET);
    this.#services = Array.from({ length: pattern.shards }, (_, index) => `shard ${index}`);
    this.#boxesByRegion = this.#makeBoxes();
    const routes = pattern.kinds.map((kind) => routeOf(kind, this.#services));
    this.#routes = new Map(routes.map((route) => [route.name, route]));
    this.#allowancesMs = queueAllowancesMs(
      pattern.kinds.map((kind) => ({ ...kind, shards: this.#services })),
    );
  }

  run(): ReplayScore {
    const { durationMs, restart } = this.#pattern;
    this.#schedule.after(0, () => this.#arrive());
    if (restart !== undefined) {
      this.#schedule.after(restart.atMs, () => {
        for (const box of this.#boxesByRegion.flat()) {
          box.reset();
        }
      });
    }
    while (this.#schedule.nowMs < 2 * durationMs && this.#schedule.runNext()) {
      // The scheduled functions do the work.
    }
    return this.#score;
  }

  #makeBoxes(): ReadonlyArray<ReadonlyArray<ReplayBox>> {
    const { boxesPerRegion, replicas = 2, leafRegions } = this.#pattern;
    const { slackCalls, boxesSharingSlack, slots } = this.#pattern;
    const leafsByService = new Map<string, ReadonlyArray<Leaf>>();
    const models = new Map<string, ReplayLeaf>();
    for (const [index, service] of this.#services.entries()) {
      const leafs = Array.from({ length: replicas }, (_, copy) => {
        const region = leafRegions[(index + copy) % leafRegions.length] ?? 0;
        return leafOf(service, { copy, region, slots });
      });
      leafsByService.set(service, leafs);
      for (const { leafId } of leafs) {
        models.set(leafId, this.#makeLeaf(leafId));
      }
    }
    return Array.from({ length: REGIONS }, (_, region) => {
      return Array.from({ length: boxesPerRegion }, () => {
        const shared = { boxesSharingSlack, slackCalls, leafsByService, models };
        return new ReplayBox({
          ...{ schedule: this.#schedule, region, disabled: this.#disabled },
          ...shared,
        });
      });
    });
  }

  #makeLeaf(leafId: string): ReplayLeaf {
    const { faults, pauseIntervalMs, pauseMs, slots, slowPeriods } = this.#pattern;
    const schedule = this.#schedule;
    const leafFaults = faults.filter(({ leafShare }) => this.#leafRandom.chance(leafShare));
    const pauseOffsetMs = this.#leafRandom.int(0, pauseIntervalMs);
    return new ReplayLeaf({
      ...{ schedule, slots, pauseMs, pauseIntervalMs, pauseOffsetMs, faults: leafFaults },
      slowPeriods: slowPeriods && { ...slowPeriods, seed: leafId },
    });
  }

  #arrive(): void {
    const { bursts, durationMs, arrivalsPerSecond } = this.#pattern;
    const now = this.#schedule.nowMs;
    if (now >= durationMs) {
      return;
    }
    const kind = this.#drawKind();
    this.#score.recordArrival(kind);
    this.#startAttempt(kind, { firstAtMs: now, isRetry: false });
    const active = bursts.filter(({ fromMs, untilMs }) => fromMs <= now && now < untilMs);
    const factor = Math.max(1, ...active.map((burst) => burst.factor));
    const draw = uniform(this.#callerRandom);
    this.#schedule.after((-Math.log(draw) * 1_000) / (arrivalsPerSecond * factor), () => {
      this.#arrive();
    });
  }

  #startAttempt(kind: QueryKind, { firstAtMs, isRetry }: CallerAttempt): void {
    const box = this.#schedule.pick(this.#boxesByRegion.flat());
    const startedAtMs = this.#schedule.nowMs;
    this.#simulateWarmUp(box);
    box.runWhenIdle(() => {
      for (const service of this.#services) {
        box.credit(service);
      }
      const query = new ReplayQuery({
        ...{ schedule: this.#schedule, box, boxesByRegion: this.#boxesByRegion },
        ...{ disabled: this.#disabled, services: this.#services },
        terms: this.#termsOf(kind, startedAtMs),
        drawWorkMs: () => this.#drawWorkMs(kind),
        onReply: (reply) => {
          const now = this.#schedule.nowMs;
          const attemptMs = now - startedAtMs;
          this.#handleReply(kind, reply, { firstAtMs, isRetry, durationMs: attemptMs });
        },
      });
      query.dispatch({ kind: "started" });
    });
  }

  #simulateWarmUp(box: ReplayBox): void {
    const { restart } = this.#pattern;
    const sinceMs = this.#schedule.nowMs - (restart?.atMs ?? Number.POSITIVE_INFINITY);
    if (restart !== undefined && sinceMs >= 0 && sinceMs < restart.warmUpMs) {
      box.compute(restart.busyMs * (1 - sinceMs / restart.warmUpMs));
    }
  }

  #termsOf(kind: QueryKind, arrivedAtMs: number): RequestTerms {
    const route = this.#routes.get(kind.name) ?? routeOf(kind, this.#services);
    const allowanceMs = this.#allowancesMs.get(kind.name) ?? Number.POSITIVE_INFINITY;
    return {
      ...{ requestId: String(this.#nextRequest++), route, arrivedAtMs, finishShare: 1 },
      ...{ objectiveAtMs: arrivedAtMs + kind.aimMs, deadlineAtMs: arrivedAtMs + kind.deadlineMs },
      maxAttempts: route.maxAttempts,
      maxQueueMs: this.#disabled.has("refusals") ? Number.POSITIVE_INFINITY : allowanceMs,
    };
  }

  /** Records the result; an unanswered first attempt is retried once, after the reply's delay if it was refused. */
  #handleReply(
    kind: QueryKind,
    reply: Reply,
    { firstAtMs, durationMs: attemptMs, isRetry }: EndedAttempt,
  ): void {
    const totalMs = this.#schedule.nowMs - firstAtMs;
    const end = (endKind: AttemptResult["kind"], coverage: number): void => {
      this.#score.recordResult(kind, {
        kind: endKind,
        coverage,
        totalMs,
        durationMs: attemptMs,
        isRetry,
      });
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
    const retryAfterMs = isRefused ? reply.retryAfterMs : 0;
    this.#schedule.after(retryAfterMs, () =>
      this.#startAttempt(kind, { firstAtMs, isRetry: true }),
    );
  }

  #drawKind(): QueryKind {
    let remaining = uniform(this.#callerRandom);
    for (const kind of this.#pattern.kinds) {
      remaining -= kind.share;
      if (remaining <= 0) {
        return kind;
      }
    }
    return this.#schedule.pick(this.#pattern.kinds);
  }

  /** Draws a processing time, log-normal around the kind's mean (Box and Muller, 1958). */
  #drawWorkMs({ workMs }: QueryKind): number {
    const radius = Math.sqrt(-2 * Math.log(uniform(this.#schedule)));
    const normal = radius * Math.cos(2 * Math.PI * uniform(this.#schedule));
    return workMs * Math.exp(WORK_LOG_STDDEV * normal - WORK_LOG_STDDEV ** 2 / 2);
  }
}

/** Draws a number between 0 and 1, both exclusive. */
function uniform(random: Schedule): number {
  return random.int(1, 1_000_000) / 1_000_001;
}

/** A caller's attempt that starts. */
interface CallerAttempt {
  readonly firstAtMs: number;
  readonly isRetry: boolean;
}

/** A caller's attempt that has ended. */
interface EndedAttempt extends CallerAttempt {
  readonly durationMs: number;
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
  const { aimMs, deadlineMs, minCoverage, name, priorityRank } = kind;
  return {
    ...{ name, host: "h", prefix: `/${name}/`, repeatable: true, maxAttempts: 2 },
    ...{ timeoutMs: deadlineMs, aimMs, priorityRank, homes: [] },
    target: { kind: "gather", shards, topRecords: 1, leastShare: minCoverage },
  };
}
