/**
 * Callers of a run, and the checks of each answer.
 *
 * @module
 */
import type { QueryAnswer, QueryRequest } from "../model/mod.js";
import type { SoakBox } from "./simulation_view.js";
import { NON_REPEATABLE_SERVICE, REPEATABLE_SERVICE, type SoakServices } from "./soak_services.js";
import type { SoakSimulation } from "./soak_simulation.js";

/** Number of rows of each shard of a fake leaf. */
const ROWS_PER_SHARD = 2;

/** Time after its deadline by which a query must be answered, in milliseconds. */
const DEADLINE_TOLERANCE_MS = 20;

/** Maximum number of attempts for a query that is not repeatable. */
const MAX_ATTEMPTS = 4;

/** Outcomes of queries, checked at the end of a run. */
export interface CallerRecords {
  /** Marks of queries that were reported as not run. */
  readonly notRun: Set<string>;
  /** Marks of queries that must run at most once. */
  readonly atMostOnce: Set<string>;
  /** Times at which queries that the limited service admitted were sent. */
  readonly admittedAtMs: Array<number>;
  readonly outcomes: Record<string, number>;
}

/** Sends queries to random boxes. */
export class SoakCallers {
  readonly #simulation: SoakSimulation;
  readonly #services: SoakServices;
  readonly records: CallerRecords = {
    notRun: new Set(),
    atMostOnce: new Set(),
    admittedAtMs: [],
    outcomes: {},
  };
  #markCount = 0;

  /**
   * @param simulation - The simulation.
   * @param services - Services of the simulation.
   */
  constructor(simulation: SoakSimulation, services: SoakServices) {
    this.#simulation = simulation;
    this.#services = services;
  }

  /** Sends a query, repeatable or not. */
  sendQuery(): void {
    const { schedule } = this.#simulation;
    const liveBoxes = this.#simulation.boxes.filter(({ entry }) => entry.isAlive);
    if (liveBoxes.length === 0) {
      return;
    }
    const box = schedule.pick(liveBoxes);
    if (schedule.chance(0.2)) {
      this.#sendNonRepeatable(box);
      return;
    }
    // Half of the queries have a unique mark; the others are equal to those sent at about the same time.
    const isShared = schedule.chance(0.5);
    const mark = isShared ? `hot-${Math.floor(schedule.nowMs / 50)}` : this.#newMark();
    const request = this.#request(REPEATABLE_SERVICE, mark, { repeatable: true });
    this.#send(box, request, (answer) => {
      if (answer.notRun && !isShared) {
        this.records.notRun.add(mark);
      }
    });
  }

  /** Sends a query to each box after faults have ended; every answer must be complete. */
  queryEachBox(): void {
    for (const box of this.#simulation.boxes.filter(({ entry }) => entry.isAlive)) {
      const mark = this.#newMark();
      const request = {
        ...this.#request(REPEATABLE_SERVICE, mark, { repeatable: true }),
        deadlineMs: 400,
      };
      this.#send(box, request, (answer) => {
        if (answer.outcome !== "complete") {
          const { statusCode, message, coverage } = answer;
          const details = JSON.stringify({ statusCode, message, lacking: coverage.lacking });
          this.#reportViolation(`${box.box} has not recovered: ${details}`, request);
        }
      });
    }
  }

  #newMark(): string {
    this.#markCount += 1;
    return `m${this.#markCount}`;
  }

  #request(
    service: string,
    mark: string,
    options: Pick<QueryRequest, "repeatable" | "ticket" | "sequence">,
  ): QueryRequest {
    const { schedule } = this.#simulation;
    const rights = schedule.pick(["rights-a", "rights-b"]);
    return {
      service,
      caller: `caller-${schedule.int(1, 5)}`,
      rights,
      deadlineMs: schedule.pick([60, 150, 400]),
      priority: schedule.pick(["urgent", "normal", "low"]),
      wantedCoverage: 1,
      merge: {},
      body: { mark },
      ...options,
    };
  }

  #sendNonRepeatable(box: SoakBox): void {
    const mark = this.#newMark();
    this.records.atMostOnce.add(mark);
    this.#simulation.requestTicket(box.entry, (ticket) => {
      const request = this.#request(NON_REPEATABLE_SERVICE, mark, {
        repeatable: false,
        ticket,
        sequence: 1,
      });
      this.#sendAttempt(box, request, MAX_ATTEMPTS);
    });
  }

  /** Sends a query under its ticket, and repeats it at random boxes until its outcome is known. */
  #sendAttempt(box: SoakBox, request: QueryRequest, attemptsLeft: number): void {
    const { schedule } = this.#simulation;
    let answered = false;
    const retry = (): void => {
      const liveBoxes = this.#simulation.boxes.filter(({ entry }) => entry.isAlive);
      if (attemptsLeft > 1 && liveBoxes.length > 0) {
        this.#sendAttempt(schedule.pick(liveBoxes), request, attemptsLeft - 1);
      }
    };
    this.#send(box, request, (answer) => {
      answered = true;
      if (answer.notRun || answer.outcome === "unknown") {
        schedule.after(schedule.int(0, 100), retry);
      }
    });
    // Some HTTP clients repeat a request while the first one is still in flight.
    schedule.after(schedule.pick([5, request.deadlineMs + 50]), () => {
      if (!answered) {
        retry();
      }
    });
  }

  #send(box: SoakBox, request: QueryRequest, onAnswer: (answer: QueryAnswer) => void): void {
    const { schedule } = this.#simulation;
    const { entry } = box;
    const sentAtMs = schedule.nowMs;
    let answerCount = 0;
    let wasPaused = entry.isPaused;
    this.#simulation.sendQuery(entry, request, (answer) => {
      answerCount += 1;
      if (answerCount > 1) {
        this.#reportViolation("answered more than once", request);
      }
      this.#countOutcome(answer);
      if (
        answer.statusCode !== 429 &&
        answer.statusCode !== 403 &&
        request.service === REPEATABLE_SERVICE
      ) {
        this.#recordAdmitted(answer, sentAtMs);
      }
      this.#check(request, answer);
      onAnswer(answer);
    });
    schedule.after(request.deadlineMs / 2, () => {
      wasPaused ||= entry.isPaused;
    });
    schedule.after(request.deadlineMs + DEADLINE_TOLERANCE_MS, () => {
      wasPaused ||= entry.isPaused || this.#simulation.wasPaused(entry.self.incarnation);
      if (answerCount === 0 && entry.isAlive && !wasPaused) {
        this.#reportViolation("not answered by its deadline", request);
      }
    });
  }

  #recordAdmitted(answer: QueryAnswer, sentAtMs: number): void {
    if (answer.snapshot !== "") {
      this.records.admittedAtMs.push(sentAtMs);
    }
  }

  #countOutcome({ outcome, statusCode }: QueryAnswer): void {
    const key = `${outcome} ${statusCode}`;
    this.records.outcomes[key] = (this.records.outcomes[key] ?? 0) + 1;
  }

  #reportViolation(description: string, request: QueryRequest): void {
    this.#simulation.violations.push(`${description}: ${JSON.stringify(request.body)}`);
  }

  #check(request: QueryRequest, answer: QueryAnswer): void {
    if (answer.snapshot === "") {
      return;
    }
    const { included, lacking } = answer.coverage;
    const shards = this.#services.snapshots.get(`${request.service} ${answer.snapshot}`) ?? [];
    const reportedShards = [...included, ...lacking.map((each) => each.shard)].sort();
    if (JSON.stringify(reportedShards) !== JSON.stringify([...shards].sort())) {
      this.#reportViolation("coverage does not match the shards of the snapshot", request);
    }
    if (answer.rows.length !== included.length * ROWS_PER_SHARD) {
      this.#reportViolation("row count does not match the included shards", request);
    }
    const { mark } = request.body as { readonly mark: string };
    for (const row of answer.rows) {
      if (row.mark !== mark || row.rights !== request.rights) {
        this.#reportViolation("a row belongs to another caller", request);
      }
      if (row.snapshot !== answer.snapshot || !included.includes(String(row.shard))) {
        this.#reportViolation("a row belongs to another snapshot or shard", request);
      }
    }
    if ((answer.outcome === "complete") !== (lacking.length === 0)) {
      this.#reportViolation("outcome does not match the coverage", request);
    }
  }
}
