/**
 * Checks the invariants of a fault soak from what callers and leafs observe: some with each response, the
 * others at the end of the run, when leafs have no open requests.
 *
 * @module
 */

import {
  type CallerResponse,
  CallLedger,
  EXTRA_CALL_LIMITS,
  type LeafSignature,
  MAX_ATTEMPTS,
  parseLeafSignature,
  parsePartHeaders,
  serviceRecords,
} from "../platform/standin/mod.js";
import { changeDueAtMs, type Disturbance, isDisturbed, isHeldUp } from "./disturbance.js";
import type { ObservedRequest } from "./observed_request.js";
import {
  LEDGER,
  RECORD_BYTES,
  RECORDS,
  REGIONAL_ROUTE,
  recordCountOf,
  SHARDS,
  servicesOfPath,
} from "./soak_configuration.js";
import { CRASHING_PATH_PART, type SoakFleet } from "./soak_fleet.js";
import { VersionChecker } from "./version_checker.js";

/** Runs of a crash-inducing query that are allowed after all boxes must have blocked it. */
const MAX_LATE_RUNS = 3;

/** Calls that may tell a leaf more time than the caller has left, over a run. */
const MAX_OVERLONG_CALLS = 20;

/** Status codes that promise that a request has not run and will not. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const NO_BODY = Buffer.alloc(0);

/** Checks the invariants of one run. */
export class InvariantChecker {
  readonly #soak: SoakFleet;
  readonly #versions: VersionChecker;
  readonly #requests: Array<ObservedRequest> = [];
  readonly #notRun: Array<string> = [];
  readonly #interruptedByStop: Array<ObservedRequest> = [];
  /** Violated invariants, each with details. */
  readonly broken: Array<string> = [];
  /** Number of checks, by invariant. */
  readonly checked: Record<string, number> = {};

  /**
   * @param soak - The programs.
   */
  constructor(soak: SoakFleet) {
    this.#soak = soak;
    this.#versions = new VersionChecker({
      check: (invariant, holds, detail) => this.check(invariant, holds, detail),
      changedAtMs: (version) => soak.changedAtMs(version),
    });
  }

  /**
   * Checks a response.
   *
   * @param request - The request with its response.
   */
  checkRequest(request: ObservedRequest): void {
    const { path, requestId, response, duringStop } = request;
    this.#requests.push(request);
    if (response === undefined) {
      if (duringStop) {
        this.#interruptedByStop.push(request);
      }
      return;
    }
    if (NOT_RUN_STATUSES.has(response.statusCode)) {
      this.#notRun.push(requestId);
    }
    if (response.statusCode === 200) {
      const isGathered = path === "/sweep/" || path === REGIONAL_ROUTE.prefix;
      const check = isGathered ? this.#checkGathered : this.#checkSingle;
      check.call(this, request, response);
    }
    this.#versions.checkRequest(request, response.statusCode);
  }

  /**
   * Checks the invariants that need the complete run.
   *
   * @param disturbances - Periods in which deadlines were suspended.
   */
  checkAtEnd(disturbances: ReadonlyArray<Disturbance>): void {
    this.#checkRuns();
    this.#checkDraining(disturbances);
    this.#checkBodies();
    this.#versions.checkDeadlines(disturbances);
    this.#checkCrashingQueries(disturbances);
    this.#checkAllowedRegions();
    this.#checkEvacuations(disturbances);
    this.#checkRepeatedCalls();
  }

  /**
   * Records a check.
   *
   * @param invariant - The invariant.
   * @param holds - Whether it holds.
   * @param detail - Details for the report if it does not.
   */
  check(invariant: string, holds: boolean, detail: () => string): void {
    this.checked[invariant] = (this.checked[invariant] ?? 0) + 1;
    if (!holds) {
      this.broken.push(`${invariant}: ${detail()}`);
    }
  }

  #checkGathered({ requestId }: ObservedRequest, response: CallerResponse): void {
    const { signatures, missingParts } = parsePartHeaders(response);
    const services = signatures.map((signature) => this.#serviceOf(signature, requestId));
    this.check(
      "a response lists shards of its own request, each at most once",
      new Set(services).size === services.length && !services.includes(undefined),
      () => `${requestId} has ${JSON.stringify(signatures)}`,
    );
    this.check(
      "a response reports the correct number of missing parts",
      signatures.length + missingParts === SHARDS.length,
      () => `${requestId} has ${signatures.length} parts and reports ${missingParts} missing`,
    );
    const parts = services.map((service) => serviceRecords(service ?? "", RECORDS.perLeaf));
    this.check(
      "a response contains the top records of its parts",
      greatestRecords(parts, RECORDS.top).equals(response.body),
      () => requestId,
    );
  }

  #checkSingle({ requestId, path }: ObservedRequest, response: CallerResponse): void {
    const service = this.#serviceOf(parseLeafSignature(response), requestId);
    const [expected = LEDGER] = servicesOfPath(path);
    const isOwn = response.body.equals(serviceRecords(expected, recordCountOf(expected)));
    const isComplete = service === expected && isOwn;
    this.check("a response of a single leaf is returned unchanged", isComplete, () => requestId);
  }

  #serviceOf(signature: LeafSignature, requestId: string): string | undefined {
    const found = this.#soak.allLeafs.find(({ leaf }) => leaf.leafId === signature.leafId);
    return signature.requestId === requestId ? found?.service : undefined;
  }

  #checkRuns(): void {
    const runs = new Map<string, number>();
    for (const { leaf, service } of this.#soak.allLeafs) {
      for (const { requestId, method } of leaf.runs) {
        const key = service === LEDGER && method === "POST" ? requestId : `${requestId}/safe`;
        runs.set(key, (runs.get(key) ?? 0) + 1);
      }
    }
    for (const [requestId, count] of runs) {
      if (!requestId.endsWith("/safe")) {
        this.check(
          "a request that is not repeatable runs at most once",
          count <= 1,
          () => requestId,
        );
      }
    }
    for (const requestId of this.#notRun) {
      const hasRun = runs.has(requestId) || runs.has(`${requestId}/safe`);
      this.check("a request refused as not run has not run", !hasRun, () => requestId);
    }
    for (const { requestId, box } of this.#interruptedByStop) {
      const hasRun = runs.has(requestId) || runs.has(`${requestId}/safe`);
      this.check("a planned stop interrupts no request", !hasRun, () => {
        return `${requestId} at ${box.box.name}`;
      });
    }
  }

  #checkBodies(): void {
    const bodies = new Map(this.#requests.map(({ requestId, body }) => [requestId, body]));
    for (const { leaf } of this.#soak.allLeafs) {
      for (const { requestId, body } of leaf.runs) {
        const sent = bodies.get(requestId) ?? NO_BODY;
        this.check("a leaf receives the body of a request unchanged", sent.equals(body), () => {
          return `${requestId} at ${leaf.leafId}: ${body.length} bytes of ${sent.length}`;
        });
      }
    }
  }

  #checkDraining(disturbances: ReadonlyArray<Disturbance>): void {
    for (const { leaf, drainingSinceMs } of this.#soak.allLeafs) {
      if (drainingSinceMs < Number.POSITIVE_INFINITY) {
        const dueMs = changeDueAtMs(drainingSinceMs, disturbances);
        const late = leaf.runs.filter(({ atMs }) => atMs > dueMs);
        this.check("a draining leaf receives no new requests", late.length === 0, () => {
          const byMs = Math.round((late.at(-1)?.atMs ?? 0) - drainingSinceMs);
          return `${leaf.leafId} ran ${late.length} requests, up to ${byMs} ms after`;
        });
      }
    }
  }

  #checkCrashingQueries(disturbances: ReadonlyArray<Disturbance>): void {
    const runsByPath = new Map<string, ReadonlyArray<number>>();
    for (const { path, atMs } of this.#soak.allLeafs.flatMap(({ leaf }) => leaf.runs)) {
      if (path.includes(CRASHING_PATH_PART)) {
        runsByPath.set(path, [...(runsByPath.get(path) ?? []), atMs]);
      }
    }
    for (const [path, runsAtMs] of runsByPath) {
      const thirdAtMs = runsAtMs.toSorted((a, b) => a - b)[2] ?? Number.POSITIVE_INFINITY;
      const dueMs = changeDueAtMs(thirdAtMs, disturbances);
      const late = runsAtMs.filter((atMs) => atMs > dueMs && !isDisturbed(atMs, disturbances));
      this.check(
        "a crash-inducing query is blocked",
        late.length <= MAX_LATE_RUNS,
        () => `${path} ran ${late.length} times after the deadline, ${runsAtMs.length} in all`,
      );
    }
  }

  #checkRepeatedCalls(): void {
    const requests = this.#requests.map(({ path, requestId, sentAtMs, deadlineMs }) => {
      return { requestId, services: servicesOfPath(path), sentAtMs, deadlineMs };
    });
    const leafs = this.#soak.allLeafs.map(({ leaf }) => leaf);
    const ledger = new CallLedger(requests, leafs);
    for (const peak of ledger.extraCallPeaks(EXTRA_CALL_LIMITS)) {
      const holds = peak.extraCalls <= peak.allowed;
      this.check("extra calls stay within the budget", holds, () => JSON.stringify(peak));
    }
    const excess = ledger.excessRuns(MAX_ATTEMPTS);
    this.check("a request runs on no more leafs than allowed", excess.length === 0, () => {
      return JSON.stringify(excess.slice(0, 5));
    });
    // A link that was cut may deliver calls late, with the time that was left before.
    const overlong = ledger.overlongCalls().filter(({ leafId, atMs }) => {
      const leaf = this.#soak.allLeafs.find((each) => each.leaf.leafId === leafId);
      return !isHeldUp(atMs, leaf?.linkFaults ?? []);
    });
    const holds = overlong.length <= MAX_OVERLONG_CALLS;
    this.check("leafs are told no more time than is left", holds, () => {
      return `${overlong.length} calls, such as ${JSON.stringify(overlong.slice(0, 5))}`;
    });
  }

  #checkAllowedRegions(): void {
    for (const { leaf, dataCentre } of this.#soak.allLeafs) {
      const outside = leaf.runs.find(({ path }) => {
        return path.startsWith(REGIONAL_ROUTE.prefix) && dataCentre !== REGIONAL_ROUTE.dataCentre;
      });
      this.check("a request runs only in its allowed regions", outside === undefined, () => {
        return `${outside?.requestId} ran at ${leaf.leafId} in ${dataCentre}`;
      });
    }
  }

  #checkEvacuations(disturbances: ReadonlyArray<Disturbance>): void {
    for (const { dataCentre, fromMs, untilMs } of this.#soak.evacuations) {
      const dueMs = changeDueAtMs(fromMs, disturbances);
      const runs = this.#soak.allLeafs
        .filter((each) => each.dataCentre === dataCentre)
        .flatMap(({ leaf }) => leaf.runs);
      const late = runs.filter(({ atMs }) => {
        return atMs > dueMs && atMs < untilMs && !isDisturbed(atMs, disturbances);
      });
      this.check("an evacuated data centre receives no requests", late.length === 0, () => {
        const byMs = Math.round((late.at(-1)?.atMs ?? 0) - fromMs);
        return `${dataCentre} ran ${late.length} requests, up to ${byMs} ms after`;
      });
    }
  }
}

/** Sorts all records, independently of the merge under test. */
function greatestRecords(parts: ReadonlyArray<Buffer>, count: number): Buffer {
  const records = parts.flatMap((part) => {
    return Array.from({ length: part.length / RECORD_BYTES }, (_, index) => {
      return part.subarray(index * RECORD_BYTES, (index + 1) * RECORD_BYTES);
    });
  });
  return Buffer.concat(records.sort((a, b) => b.compare(a)).slice(0, count));
}
