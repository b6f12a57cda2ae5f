/**
 * Callers of a fault soak. Each sends sequential requests to boxes that the directory lists, and reuses its
 * connection while the box's process runs.
 *
 * @module
 */
import prand from "pure-rand";
import { delay } from "../standins/waiting.js";
import type { InvariantChecker } from "./invariant_checker.js";
import { requestBody } from "./request_body.js";
import { HOST, LEDGER, REGIONAL_ROUTE, VERSION_PREFIX } from "./soak_configuration.js";
import type { SoakBox, SoakFleet } from "./soak_fleet.js";

/** Time between two requests of a caller, in milliseconds. */
const REQUEST_INTERVAL_MS = 15;

/** Requests that a caller sends to a box before it queries the directory again. */
const REQUESTS_PER_BOX = 25;

/** Number of concurrent callers. */
const CALLERS = 8;

/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 1_500;

/** Runs the callers until they are stopped. */
export class SoakCallers {
  readonly #soak: SoakFleet;
  readonly #invariants: InvariantChecker;
  /** Number of responses, by status code. */
  readonly statuses: Record<string, number> = {};
  #random: prand.RandomGenerator;
  #isStopped = false;
  #nextId = 1;

  /**
   * @param soak - The programs.
   * @param invariants - Checks the responses.
   * @param seed - Seed of the choice of boxes and paths.
   */
  constructor(soak: SoakFleet, invariants: InvariantChecker, seed: number) {
    this.#soak = soak;
    this.#invariants = invariants;
    this.#random = prand.xoroshiro128plus(seed);
  }

  /**
   * Sends requests until {@linkcode SoakCallers.stop} is called.
   *
   * @returns A promise that resolves when the last request has ended.
   */
  async run(): Promise<void> {
    await Promise.all(Array.from({ length: CALLERS }, () => this.#runCaller()));
  }

  /** Stops the callers after their current requests. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Sends a request and checks its response.
   *
   * @param box - Box to send it to.
   * @param path - Path of the request.
   * @returns The status code, or `undefined` if the connection closed without a response.
   */
  async sendRequest(box: SoakBox, path: string): Promise<number | undefined> {
    const requestId = `request-${this.#nextId++}`;
    const { incarnation, endedCount } = box;
    const sentAtMs = performance.now();
    // Leafs of the ledger take a POST for a request that is not repeatable; these routes are.
    const body = path.startsWith(VERSION_PREFIX) ? undefined : requestBody(requestId);
    const method = path === `/${LEDGER}/` || body !== undefined ? "POST" : "GET";
    const terms = { path, requestId, method, host: HOST, deadlineMs: DEADLINE_MS } as const;
    const request = { ...terms, ...(body && { body }) };
    const response = await this.#soak.fleet.sendRequest(box.box, request).catch(() => undefined);
    // The invariant of planned stops does not apply to a process that was also killed or paused.
    const duringStop = box.isStopping && box.incarnation === incarnation;
    this.#invariants.checkRequest({
      requestId,
      path,
      body,
      box,
      endedCount,
      sentAtMs,
      deadlineMs: DEADLINE_MS,
      duringStop,
      response,
    });
    const status = String(response?.statusCode ?? "no answer");
    this.statuses[status] = (this.statuses[status] ?? 0) + 1;
    return response?.statusCode;
  }

  async #runCaller(): Promise<void> {
    while (!this.#isStopped) {
      const box = await this.#chooseBox();
      for (let sent = 0; sent < REQUESTS_PER_BOX && !this.#isStopped; sent++) {
        const status = await this.sendRequest(box, this.#pickPath());
        if (status === undefined) {
          break;
        }
        await delay(REQUEST_INTERVAL_MS);
      }
      await delay(REQUEST_INTERVAL_MS);
    }
  }

  /** Chooses a box that a directory lists, or any box if the directory does not answer. */
  async #chooseBox(): Promise<SoakBox> {
    const { boxes, fleet } = this.#soak;
    const directoryBox = boxes[this.#int(boxes.length)] as SoakBox;
    const region = directoryBox.box.dataCentre === "hall-a" ? "north" : "south";
    const addresses = await fleet.resolve(directoryBox.box, region).catch(() => []);
    const listed = boxes.filter(({ box }) => {
      return addresses.some((each) => each.split(":")[0] === box.address);
    });
    const candidates = listed.length > 0 ? listed : boxes;
    return candidates[this.#int(candidates.length)] as SoakBox;
  }

  #pickPath(): string {
    const version = `${VERSION_PREFIX}${this.#soak.version}/`;
    const paths = ["/sweep/", "/sweep/", REGIONAL_ROUTE.prefix, `/${LEDGER}/`, version];
    return paths[this.#int(paths.length)] ?? "/sweep/";
  }

  #int(below: number): number {
    const [value, random] = prand.uniformIntDistribution(0, below - 1, this.#random);
    this.#random = random;
    return value;
  }
}
