/**
 * Invariants that are checked at the end of a run.
 *
 * @module
 */
import type { CallerRecords } from "./soak_callers.js";
import { REPEATABLE_SERVICE_LIMIT, type SoakServices } from "./soak_services.js";
import type { SoakSimulation } from "./soak_simulation.js";

/** Time after which a leaving leaf must receive no new calls, in milliseconds. */
export const LEAVING_LIMIT_MS = 3_000;

/** Lengths of the windows over which the shared limit is checked, in milliseconds. */
const LIMIT_WINDOWS_MS = [1_000, 5_000, 20_000] as const;

/**
 * Checks the invariants of a run after its quiet period.
 *
 * @param simulation - The simulation.
 * @param services - Services of the simulation.
 * @param records - Responses that the callers received.
 * @returns A description of each violation.
 */
export function checkRun(
  simulation: SoakSimulation,
  services: SoakServices,
  records: CallerRecords,
): ReadonlyArray<string> {
  return [
    ...checkNotRun(simulation, records),
    ...checkAtMostOnce(simulation, records),
    ...checkLeaving(simulation),
    ...checkConfiguration(simulation, services),
    ...checkLimit(records),
  ];
}

function checkNotRun(simulation: SoakSimulation, records: CallerRecords): ReadonlyArray<string> {
  const ran = new Set(simulation.runs.map((run) => run.mark));
  return [...records.notRun]
    .filter((mark) => ran.has(mark))
    .map((mark) => `query ${mark} was reported as not run but ran`);
}

function checkAtMostOnce(
  simulation: SoakSimulation,
  records: CallerRecords,
): ReadonlyArray<string> {
  const counts = new Map<string, number>();
  for (const { mark, shard, snapshot } of simulation.runs) {
    if (records.atMostOnce.has(mark)) {
      const key = `${mark} ${snapshot} ${shard}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key} must run at most once but ran ${count} times`);
}

function checkLeaving(simulation: SoakSimulation): ReadonlyArray<string> {
  return simulation.callsWhileLeaving
    .filter(({ afterMs }) => afterMs > LEAVING_LIMIT_MS)
    .map(
      ({ leafId, afterMs }) =>
        `leaf ${leafId} received a call ${afterMs} ms after it began to leave`,
    );
}

function checkConfiguration(
  simulation: SoakSimulation,
  services: SoakServices,
): ReadonlyArray<string> {
  const latest = new Map(simulation.platform.history.map(({ key, object }) => [key, object]));
  const nodes = simulation.boxes.flatMap(({ entry, pool }) => [entry, pool]);
  const outdated = nodes.flatMap((node) =>
    [...latest].flatMap(([key, object]) => {
      const used = node.state.control.catalog.objects.get(key);
      return node.isAlive && used?.revision !== object.revision
        ? [
            `${node.self.memberId} uses ${key} at revision ${used?.revision}, not ${object.revision}`,
          ]
        : [];
    }),
  );
  const missing = [...services.acceptedSubmissions].flatMap(([key, accepted]) =>
    accepted
      .filter(({ revision }) => revision > (latest.get(key)?.revision ?? 0))
      .map(
        ({ revision }) =>
          `${key} was reported as accepted at revision ${revision} but is not stored`,
      ),
  );
  const duplicate = [...services.acceptedSubmissions].flatMap(([key, accepted]) => {
    const revisions = accepted.map((each) => each.revision);
    return new Set(revisions).size === revisions.length
      ? []
      : [`${key} has two accepted submissions with the same revision`];
  });
  return [...outdated, ...missing, ...duplicate];
}

function checkLimit({ admittedAtMs }: CallerRecords): ReadonlyArray<string> {
  const times = [...admittedAtMs].sort((a, b) => a - b);
  return LIMIT_WINDOWS_MS.flatMap((windowMs) => {
    const { requestsPerSecond, burstRequests } = REPEATABLE_SERVICE_LIMIT;
    const maxQueries = (requestsPerSecond * windowMs) / 1000 + burstRequests + 1;
    let first = 0;
    for (const [index, atMs] of times.entries()) {
      while (atMs - (times[first] ?? atMs) > windowMs) {
        first += 1;
      }
      if (index - first + 1 > maxQueries) {
        return [
          `${index - first + 1} queries were admitted within ${windowMs} ms, more than ${maxQueries}`,
        ];
      }
    }
    return [];
  });
}
