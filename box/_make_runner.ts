/**
 * Makes the runner of a box's requests: ties it to the queues told of, the budgets and the counters.
 *
 * @module
 */
import { addQueueSample, persistentQueueMs, type QueueSamples } from "../admission/mod.js";
import type { ExtraCallBudgets } from "../extra_calls/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { RunnerOptions } from "./_runner_options.js";
import { RequestRunner } from "./request_runner.js";

/** What the runner is tied to. */
export interface MakeRunnerOptions
  extends Omit<RunnerOptions, "noteQueue" | "creditRequest" | "takeExtraCall" | "extraCallsLeft"> {
  readonly budgets: ExtraCallBudgets;
  readonly telemetry: Pick<BoxTelemetry, "extraCalls">;
}

/**
 * Makes the runner.
 *
 * @param options - What it is tied to.
 * @returns The runner.
 */
export function makeRunner({ budgets, telemetry, ...options }: MakeRunnerOptions): RequestRunner {
  const { nowMs } = options;
  const queueLooks = new Map<string, QueueSamples>();
  return new RequestRunner({
    ...options,
    noteQueue: (index, queueMs) => {
      const looks = addQueueSample(queueLooks.get(index) ?? [], { queueMs, atMs: nowMs() });
      queueLooks.set(index, looks);
      return persistentQueueMs(looks);
    },
    extraCallsLeft: (service) => budgets.remaining(service),
    creditRequest: (service) => budgets.credit(service),
    takeExtraCall: (service, kind) => {
      const allowed = budgets.tryTake(service, kind);
      telemetry.extraCalls.add(allowed ? kind : `${kind} refused`);
      return allowed;
    },
  });
}
