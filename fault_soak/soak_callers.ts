/**
 * Callers of a fault soak: each sends one request after the other to the boxes that the directory
 * names, and goes on using a connection for as long as the box's process is there.
 *
 * @module
 */
import prand from "pure-rand";
import { pause } from "../standins/waiting.js";
import type { Promises } from "./promises.js";
import { HOME_ROUTE, HOST, LEDGER, type SoakBox, type SoakFleet } from "./soak_fleet.js";

/** Time between two requests of a caller, in milliseconds. */
const PAUSE_MS = 15;

/** Requests that a caller sends to one box before it asks the directory again. */
const REQUESTS_A_BOX = 25;

/** Callers at the same time. */
const CALLERS = 8;

/** Time that a caller waits for an answer, in milliseconds. */
const DEADLINE_MS = 1_500;

/** Runs the callers until they are told to end. */
export class SoakCallers {
  readonly #soak: SoakFleet;
  readonly #promises: Promises;
  readonly statuses: Record<string, number> = {};
  #random: prand.RandomGenerator;
  #isOver = false;
  #nextId = 1;

  /**
   * @param soak - The programs.
   * @param promises - Judges what callers see.
   * @param seed - Seed of what they ask for.
   */
  constructor(soak: SoakFleet, promises: Promises, seed: number) {
    this.#soak = soak;
    this.#promises = promises;
    this.#random = prand.xoroshiro128plus(seed);
  }

  /**
   * Sends requests until `stop()` is called.
   *
   * @returns Once the last request has ended.
   */
  async run(): Promise<void> {
    await Promise.all(Array.from({ length: CALLERS }, () => this.#call()));
  }

  /** Ends the callers after the requests under way. */
  stop(): void {
    this.#isOver = true;
  }

  /**
   * Sends one request and has it judged.
   *
   * @param box - Where to.
   * @param path - What for.
   * @returns The status, or nothing where the connection ended without an answer.
   */
  async ask(box: SoakBox, path: string): Promise<number | undefined> {
    const requestId = `request-${this.#nextId++}`;
    const { life } = box;
    const sentAtMs = performance.now();
    const method = path === `/${LEDGER}/` ? "POST" : "GET";
    const request = { path, requestId, method, host: HOST, deadlineMs: DEADLINE_MS } as const;
    const response = await this.#soak.fleet.sendRequest(box.box, request).catch(() => undefined);
    // A process that a kill or a pause hit as well is not held to what a planned stop promises.
    const duringStop = box.isStopping && box.life === life;
    this.#promises.see({ requestId, path, box, life, sentAtMs, duringStop, response });
    const status = String(response?.statusCode ?? "no answer");
    this.statuses[status] = (this.statuses[status] ?? 0) + 1;
    return response?.statusCode;
  }

  async #call(): Promise<void> {
    while (!this.#isOver) {
      const box = await this.#advised();
      for (let sent = 0; sent < REQUESTS_A_BOX && !this.#isOver; sent++) {
        const status = await this.ask(box, this.#pickPath());
        if (status === undefined) {
          break;
        }
        await pause(PAUSE_MS);
      }
      await pause(PAUSE_MS);
    }
  }

  /** A box that some directory names; any where none answers. */
  async #advised(): Promise<SoakBox> {
    const { boxes, fleet } = this.#soak;
    const asked = boxes[this.#int(boxes.length)] as SoakBox;
    const region = asked.box.dataCentre === "hall-a" ? "north" : "south";
    const addresses = await fleet.resolve(asked.box, region).catch(() => []);
    const named = boxes.filter(({ box }) => {
      return addresses.some((each) => each.split(":")[0] === box.address);
    });
    const candidates = named.length > 0 ? named : boxes;
    return candidates[this.#int(candidates.length)] as SoakBox;
  }

  #pickPath(): string {
    const version = `/version-${this.#soak.version}/`;
    const paths = ["/sweep/", "/sweep/", HOME_ROUTE.prefix, `/${LEDGER}/`, version];
    return paths[this.#int(paths.length)] ?? "/sweep/";
  }

  #int(below: number): number {
    const [value, random] = prand.uniformIntDistribution(0, below - 1, this.#random);
    this.#random = random;
    return value;
  }
}
