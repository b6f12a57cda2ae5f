/**
 * Distributes a route's requests among its services in proportion to their weights.
 *
 * Each route has a position from 0 up to 1, which advances by a fixed step with each request and
 * wraps around. The weights divide the same range among the services. As the position has no unit of
 * weights, it stays valid when the weights or the services of a route change.
 *
 * Source: low-discrepancy additive recurrence; see Niederreiter, Random Number Generation and
 * Quasi-Monte Carlo Methods (1992), chapter 3.
 *
 * @module
 */
import type { Route, WeightedService } from "./configuration.js";

/** Fractional part of the golden ratio, which spreads any number of positions evenly. */
const POSITION_STEP = (Math.sqrt(5) - 1) / 2;

/** A route whose requests are distributed. */
export interface SplitRoute extends Pick<Route, "name"> {
  /** At least one. */
  readonly services: ReadonlyArray<WeightedService>;
}

/** Selects the services of requests. */
export class ServiceSelector {
  readonly #random: () => number;
  /** Positions by the route's name. */
  readonly #positions = new Map<string, number>();

  /**
   * @param random - Returns a random number from 0 up to 1. Boxes that start together would
   *   otherwise send their first requests to the same service.
   */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Number of routes whose position is kept. */
  get routeCount(): number {
    return this.#positions.size;
  }

  /**
   * Selects the service of the next request of a route.
   *
   * @param route - The route as currently configured.
   * @returns The service.
   */
  select({ name, services }: SplitRoute): string {
    const position = this.#positions.get(name) ?? this.#random();
    const next = (position + POSITION_STEP) % 1;
    this.#positions.set(name, next);
    return serviceAt(services, position);
  }

  /**
   * Forgets the routes that the configuration no longer has.
   *
   * @param routes - The current routes.
   */
  retainRoutes(routes: ReadonlyArray<Pick<Route, "name">>): void {
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.#positions.keys()) {
      if (!names.has(name)) {
        this.#positions.delete(name);
      }
    }
  }
}

/** Returns the service whose part of the range from 0 to 1 contains a position. */
function serviceAt(services: ReadonlyArray<WeightedService>, position: number): string {
  const totalWeight = services.reduce((sum, { weight }) => sum + weight, 0);
  let endWeight = 0;
  const found = services.find(({ weight }) => {
    endWeight += weight;
    return position * totalWeight < endWeight;
  });
  return (found ?? services[0])?.service ?? "";
}
