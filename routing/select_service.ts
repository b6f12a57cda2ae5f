/**
 * Distributes a route's requests among its services in proportion to their weights.
 *
 * @module
 */
import type { WeightedService } from "./configuration.js";

/** How far each service of a route is ahead of or behind its due share. */
export type ServiceCredits = ReadonlyMap<string, number>;

/** A selected service, and the credits after the selection. */
export interface ServiceChoice {
  readonly service: string;
  readonly credits: ServiceCredits;
}

/**
 * Selects the service of the next request by smooth weighted round robin, so that any sequence of
 * requests is close to the weights.
 *
 * @param services - Services of the route; at least one.
 * @param credits - Credits after the last selection; initially empty.
 * @returns The service and the new credits.
 */
export function selectService(
  services: ReadonlyArray<WeightedService>,
  credits: ServiceCredits,
): ServiceChoice {
  const totalWeight = services.reduce((sum, { weight }) => sum + weight, 0);
  const credited = services.map(({ service, weight }) => {
    return { service, credit: (credits.get(service) ?? 0) + weight };
  });
  const best = credited.reduce((a, b) => (b.credit > a.credit ? b : a));
  const next = credited.map(({ service, credit }) => {
    return [service, service === best.service ? credit - totalWeight : credit] as const;
  });
  return { service: best.service, credits: new Map(next) };
}
