// Guards against parts of a split route that get other shares than their weights, above all after
// a change of the weights: credits in units of the former weights once outlived them.
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import t from "tap";
import type { WeightedService } from "./configuration.js";
import { ServiceSelector } from "./service_selector.js";

/** Largest difference of a share from its weight's that operators accept. */
const MAX_SHARE_ERROR = 0.2;

/** Number of requests over which shares are compared. */
const COMPARED_REQUESTS = 200;

const BOX_COUNTS = [1, 7, 195];

const RANDOM_RANGE = 2 ** 30;

function servicesOf(weights: Readonly<Record<string, number>>): ReadonlyArray<WeightedService> {
  return Object.entries(weights).map(([service, weight]) => ({ service, weight }));
}

/** Selectors of several boxes, whose requests come in turn. */
class SelectorFleet {
  readonly #selectors: ReadonlyArray<ServiceSelector>;
  #sent = 0;

  constructor(boxCount: number) {
    const random = xoroshiro128plus(66 + boxCount);
    this.#selectors = Array.from({ length: boxCount }, () => {
      return new ServiceSelector(() => {
        return unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, random) / RANDOM_RANGE;
      });
    });
  }

  send(services: ReadonlyArray<WeightedService>, count: number): ReadonlyArray<string> {
    return Array.from({ length: count }, () => {
      const selector = this.#selectors[this.#sent % this.#selectors.length];
      this.#sent += 1;
      return selector?.select({ name: "r", services }) ?? "";
    });
  }
}

/** Returns the largest difference of a service's share from its weight's. */
function shareError(
  services: ReadonlyArray<WeightedService>,
  selected: ReadonlyArray<string>,
): number {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  const errors = services.map(({ service, weight }) => {
    const share = selected.filter((each) => each === service).length / selected.length;
    return Math.abs(share - weight / total);
  });
  return Math.max(...errors);
}

const THREE_PARTS = servicesOf({ a: 70, b: 20, c: 10 });

t.test("select() is close to the weights over any sequence of requests", async (t) => {
  const selected = new SelectorFleet(1).send(THREE_PARTS, 200);
  for (const { service, weight } of THREE_PARTS) {
    for (const end of [50, 100, 150, 200]) {
      const share = selected.slice(end - 50, end).filter((each) => each === service).length / 50;
      t.ok(Math.abs(share - weight / 100) <= 0.04, `${service}: ${share} up to ${end}`);
    }
  }
});

/** Weights of one route, in the order of its configurations. */
const CHANGES: Readonly<Record<string, ReadonlyArray<ReadonlyArray<WeightedService>>>> = {
  "a thousandth becomes a half": [servicesOf({ a: 999, b: 1 }), servicesOf({ a: 1, b: 1 })],
  "large weights become small": [servicesOf({ a: 1, b: 1_000_000 }), servicesOf({ a: 1, b: 1 })],
  "a weight becomes zero": [servicesOf({ a: 1, b: 999 }), servicesOf({ a: 1, b: 0 })],
  "a part leaves and returns": [
    ...[servicesOf({ a: 1, b: 1 }), servicesOf({ a: 1 }), servicesOf({ b: 3, a: 1 })],
    servicesOf({ a: 1, b: 1 }),
  ],
  "all parts are replaced": [servicesOf({ a: 999, b: 1 }), servicesOf({ c: 1, d: 1, e: 2 })],
};

t.test("the shares of all boxes follow a change of the weights", async (t) => {
  for (const boxCount of BOX_COUNTS) {
    for (const [name, configurations] of Object.entries(CHANGES)) {
      const fleet = new SelectorFleet(boxCount);
      for (const [index, services] of configurations.entries()) {
        const isLast = index === configurations.length - 1;
        const selected = fleet.send(services, isLast ? COMPARED_REQUESTS : 3_000);
        const error = shareError(services, selected.slice(0, COMPARED_REQUESTS));
        t.ok(error <= MAX_SHARE_ERROR, `${name}, ${boxCount} boxes: ${error}`);
      }
    }
  }
});

t.test("many changes in a row leave the shares as ordered", async (t) => {
  for (const boxCount of BOX_COUNTS) {
    const fleet = new SelectorFleet(boxCount);
    for (let change = 0; change < 100; change++) {
      fleet.send(servicesOf({ a: 10 ** (change % 7), b: 1 + (change % 3) }), 17);
    }
    const services = servicesOf({ a: 1, b: 3 });
    const error = shareError(services, fleet.send(services, COMPARED_REQUESTS));
    t.ok(error <= MAX_SHARE_ERROR, `${boxCount} boxes: ${error}`);
  }
});

t.test("select() never selects a service that was removed from the route", async (t) => {
  const selector = new ServiceSelector(() => 0.99);
  selector.select({ name: "r", services: servicesOf({ a: 1, removed: 1_000 }) });
  for (let number = 0; number < 10; number++) {
    t.equal(selector.select({ name: "r", services: servicesOf({ a: 1 }) }), "a");
  }
});

t.test("select() selects a service although all weights are zero", async (t) => {
  const selector = new ServiceSelector(() => 0.5);
  t.equal(selector.select({ name: "r", services: servicesOf({ a: 0, b: 0 }) }), "a");
});

t.test("retainRoutes() forgets the routes that the configuration no longer has", async (t) => {
  const selector = new ServiceSelector(() => 0);
  for (let number = 0; number < 1_000; number++) {
    selector.select({ name: `r${number}`, services: THREE_PARTS });
  }
  selector.retainRoutes([{ name: "r7" }, { name: "unused" }]);
  t.equal(selector.routeCount, 1);
});
