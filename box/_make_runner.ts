/**
 * Creates the runner of a box's requests with its queue samples, extra-call budgets and metrics.
 *
 * @module
 */
import { addQueueSample, persistentQueueMs, type QueueSamples } from "../admission/mod.js";
import type { ExtraCallBudgets } from "../extra_calls/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { RunnerOptions } from "./_runner_options.js";
import { RequestRunner } from "./request_runner.js";

/** Options of {@link makeRunner}. */
export interface MakeRunnerOptions
  extends Omit<
    RunnerOptions,
    "recordQueue" | "creditRequest" | "takeExtraCall" | "extraCallsLeft"
  > {
  readonly budgets: ExtraCallBudgets;
  readonly telemetry: Pick<BoxTelemetry, "extraCalls">;
}

/**
 * Creates the runner.
 *
 * @param options - Dependencies of the runner.
 * @returns The runner.
 */
export function makeRunner({ budgets, telemetry, ...options }: MakeRunnerOptions): RequestRunner {
  const { nowMs } = options;
  const queueSamples = new Map<string, QueueSamples>();
  return new RequestRunner({
    ...options,
    recordQueue: (index, queueMs) => {
      const samples = addQueueSample(queueSamples.get(index) ?? [], { queueMs, atMs: nowMs() });
      queueSamples.set(index, samples);
      return persistentQueueMs(samples);
    },
    extraCallsLeft: (service) => budgets.remaining(service),
    creditRequest: (service) => budgets.credit(service),
    takeExtraCall: (service, kind) => {
      const isAllowed = budgets.tryTake(service, kind);
      telemetry.extraCalls.add(isAllowed ? kind : `${kind} refused`);
      return isAllowed;
    },
  });
}
