/**
 * The promises that a fault soak checks, from what callers and leafs see. Those that can be told at
 * once are judged with each answer, the others when the run has ended and leafs have nothing open.
 *
 * @module
 */

import {
  type CallerResponse,
  type LeafSignature,
  parseLeafSignature,
  parsePartHeaders,
  serviceRecords,
} from "../platform/standin/mod.js";
import { type Disturbance, isDisturbed, newsDueAtMs } from "./disturbance.js";
import {
  ENDS_LEAFS,
  HOME_ROUTE,
  LEDGER,
  RECORDS,
  SHARDS,
  type SoakBox,
  type SoakFleet,
} from "./soak_fleet.js";

/** Runs of a query that ends leafs which are allowed once all boxes know of it. */
const MOST_LATE_RUNS = 3;

/** Size of a record, in bytes. */
const RECORD_BYTES = 16;

/** One request and what came of it. */
export interface SeenRequest {
  readonly requestId: string;
  readonly path: string;
  readonly box: SoakBox;
  /** Which of the box's processes it was sent to. */
  readonly life: number;
  /** When it was sent, on this process's clock, in milliseconds. */
  readonly sentAtMs: number;
  /** Whether the box was in the course of a planned stop, and nothing else, when it ended. */
  readonly duringStop: boolean;
  /** Nothing where the connection ended without an answer. */
  readonly response: CallerResponse | undefined;
}

/** A request on the route that one version of the configuration added, and whether it had the route. */
interface VersionRequest {
  readonly seen: SeenRequest;
  readonly version: number;
  readonly isServed: boolean;
}

/** Judges a run. */
export class Promises {
  readonly #soak: SoakFleet;
  readonly #notRun: Array<string> = [];
  readonly #cut: Array<SeenRequest> = [];
  readonly #shownVersion = new Map<string, number>();
  readonly #versionRequests: Array<VersionRequest> = [];
  readonly broken: Array<string> = [];
  readonly checked: Record<string, number> = {};

  /**
   * @param soak - The programs.
   */
  constructor(soak: SoakFleet) {
    this.#soak = soak;
  }

  /**
   * Judges one answer.
   *
   * @param seen - The request and what came of it.
   */
  see(seen: SeenRequest): void {
    const { path, requestId, response, duringStop } = seen;
    if (response === undefined) {
      if (duringStop) {
        this.#cut.push(seen);
      }
      return;
    }
    if (response.statusCode === 503) {
      this.#notRun.push(requestId);
    }
    if (response.statusCode === 200) {
      const isGathered = path === "/sweep/" || path === HOME_ROUTE.prefix;
      const judge = isGathered ? this.#judgeSweep : this.#judgeSingle;
      judge.call(this, requestId, response);
    }
    this.#judgeVersion(seen, response.statusCode);
  }

  /**
   * Judges what shows only at the end.
   *
   * @param disturbances - Times in which bounds did not hold.
   */
  judgeEnd(disturbances: ReadonlyArray<Disturbance>): void {
    this.#judgeRuns();
    this.#judgeDraining(disturbances);
    this.#judgeInForce(disturbances);
    this.#judgeCrashingQueries(disturbances);
    this.#judgeHomes();
    this.#judgeEvacuations(disturbances);
  }

  #check(promise: string, holds: boolean, detail: () => string): void {
    this.checked[promise] = (this.checked[promise] ?? 0) + 1;
    if (!holds) {
      this.broken.push(`${promise}: ${detail()}`);
    }
  }

  #judgeSweep(requestId: string, response: CallerResponse): void {
    const { signatures, missingParts } = parsePartHeaders(response);
    const services = signatures.map((signature) => this.#serviceOf(signature, requestId));
    this.#check(
      "an answer names parts of this request, each shard once",
      new Set(services).size === services.length && !services.includes(undefined),
      () => `${requestId} has ${JSON.stringify(signatures)}`,
    );
    this.#check(
      "an answer says truly how many parts it lacks",
      signatures.length + missingParts === SHARDS.length,
      () => `${requestId} has ${signatures.length} parts and lacks ${missingParts}`,
    );
    const parts = services.map((service) => serviceRecords(service ?? "", RECORDS.perLeaf));
    this.#check(
      "an answer holds the greatest records of its parts",
      greatestRecords(parts, RECORDS.top).equals(response.body),
      () => requestId,
    );
  }

  #judgeSingle(requestId: string, response: CallerResponse): void {
    const service = this.#serviceOf(parseLeafSignature(response), requestId);
    const isOwn = response.body.equals(serviceRecords(LEDGER, RECORDS.perLeaf));
    const isWhole = service === LEDGER && isOwn;
    this.#check("an answer is the leaf's own, whole", isWhole, () => requestId);
  }

  #serviceOf(signature: LeafSignature, requestId: string): string | undefined {
    const found = this.#soak.allLeafs.find(({ leaf }) => leaf.leafId === signature.leafId);
    return signature.requestId === requestId ? found?.service : undefined;
  }

  #judgeVersion(seen: SeenRequest, statusCode: number): void {
    const { box, life, path, requestId } = seen;
    const version = Number(/^\/version-(\d+)\/$/.exec(path)?.[1] ?? Number.NaN);
    if (Number.isNaN(version)) {
      return;
    }
    if (statusCode !== 503) {
      this.#versionRequests.push({ seen, version, isServed: statusCode !== 404 });
    }
    const key = `${box.box.name}/${life}`;
    const shown = this.#shownVersion.get(key) ?? 0;
    if (statusCode === 404) {
      this.#check("a configuration never reverts", version > shown, () => {
        return `${key} knew version ${shown} and refuses ${version} (${requestId})`;
      });
    } else if (statusCode !== 503) {
      this.#shownVersion.set(key, Math.max(shown, version));
    }
  }

  #judgeRuns(): void {
    const runs = new Map<string, number>();
    for (const { leaf, service } of this.#soak.allLeafs) {
      for (const { requestId, method } of leaf.runs) {
        const key = service === LEDGER && method === "POST" ? requestId : `${requestId}/safe`;
        runs.set(key, (runs.get(key) ?? 0) + 1);
      }
    }
    for (const [requestId, count] of runs) {
      if (!requestId.endsWith("/safe")) {
        this.#check("a request that must not run twice runs once", count <= 1, () => requestId);
      }
    }
    for (const requestId of this.#notRun) {
      const hasRun = runs.has(requestId) || runs.has(`${requestId}/safe`);
      this.#check("a request refused as not run has not run", !hasRun, () => requestId);
    }
    for (const { requestId, box } of this.#cut) {
      const hasRun = runs.has(requestId) || runs.has(`${requestId}/safe`);
      this.#check("a planned stop cuts no request", !hasRun, () => {
        return `${requestId} at ${box.box.name}`;
      });
    }
  }

  #judgeDraining(disturbances: ReadonlyArray<Disturbance>): void {
    for (const { leaf, drainingSinceMs } of this.#soak.allLeafs) {
      if (drainingSinceMs < Number.POSITIVE_INFINITY) {
        const dueMs = newsDueAtMs(drainingSinceMs, disturbances);
        const late = leaf.runs.filter(({ atMs }) => atMs > dueMs);
        this.#check("a leaf that drains gets no new work", late.length === 0, () => {
          const byMs = Math.round((late.at(-1)?.atMs ?? 0) - drainingSinceMs);
          return `${leaf.leafId} ran ${late.length} requests, up to ${byMs} ms after`;
        });
      }
    }
  }

  #judgeCrashingQueries(disturbances: ReadonlyArray<Disturbance>): void {
    const runsByPath = new Map<string, ReadonlyArray<number>>();
    for (const { path, atMs } of this.#soak.allLeafs.flatMap(({ leaf }) => leaf.runs)) {
      if (path.includes(ENDS_LEAFS)) {
        runsByPath.set(path, [...(runsByPath.get(path) ?? []), atMs]);
      }
    }
    for (const [path, moments] of runsByPath) {
      const thirdAtMs = moments.toSorted((a, b) => a - b)[2] ?? Number.POSITIVE_INFINITY;
      const dueMs = newsDueAtMs(thirdAtMs, disturbances);
      const late = moments.filter((atMs) => atMs > dueMs && !isDisturbed(atMs, disturbances));
      this.#check(
        "a query that ends leafs is kept from them",
        late.length <= MOST_LATE_RUNS,
        () => `${path} ran ${late.length} times more, ${moments.length} in all`,
      );
    }
  }

  #judgeHomes(): void {
    for (const { leaf, dataCentre } of this.#soak.allLeafs) {
      const away = leaf.runs.find(({ path }) => {
        return path.startsWith(HOME_ROUTE.prefix) && dataCentre !== HOME_ROUTE.dataCentre;
      });
      this.#check("a request with homes runs at home only", away === undefined, () => {
        return `${away?.requestId} ran at ${leaf.leafId} in ${dataCentre}`;
      });
    }
  }

  #judgeEvacuations(disturbances: ReadonlyArray<Disturbance>): void {
    for (const { dataCentre, fromMs, untilMs } of this.#soak.evacuations) {
      const dueMs = newsDueAtMs(fromMs, disturbances);
      const runs = this.#soak.allLeafs
        .filter((each) => each.dataCentre === dataCentre)
        .flatMap(({ leaf }) => leaf.runs);
      const late = runs.filter(({ atMs }) => {
        return atMs > dueMs && atMs < untilMs && !isDisturbed(atMs, disturbances);
      });
      this.#check("an emptied data centre gets nothing more", late.length === 0, () => {
        const byMs = Math.round((late.at(-1)?.atMs ?? 0) - fromMs);
        return `${dataCentre} ran ${late.length} requests, up to ${byMs} ms after`;
      });
    }
  }

  #judgeInForce(disturbances: ReadonlyArray<Disturbance>): void {
    for (const { seen, version, isServed } of this.#versionRequests) {
      const dueMs = newsDueAtMs(this.#soak.changedAtMs(version), disturbances);
      const holds = isServed || seen.sentAtMs <= dueMs;
      this.#check("a configuration is in force in time", holds, () => {
        const lateMs = Math.round(seen.sentAtMs - dueMs);
        return `${seen.box.box.name} has no version ${version} ${lateMs} ms after it is due`;
      });
    }
  }
}

/** Sorts all records, apart from how the product merges, so that a fault there shows. */
function greatestRecords(parts: ReadonlyArray<Buffer>, count: number): Buffer {
  const records = parts.flatMap((part) => {
    return Array.from({ length: part.length / RECORD_BYTES }, (_, index) => {
      return part.subarray(index * RECORD_BYTES, (index + 1) * RECORD_BYTES);
    });
  });
  return Buffer.concat(records.sort((a, b) => b.compare(a)).slice(0, count));
}
