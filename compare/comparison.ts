/**
 * Comparisons of several variants of a decision, each with its own checkout, on the same sites, days and seeds.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { parse } from "smol-toml";
import * as z from "zod/mini";

const NAME = z.string().check(z.regex(/^[\w.-]+$/));

const COMPARISON = z.object({
  /** Name of the decision that the variants implement differently. */
  decision: z.string(),
  /** Checkout folder of each variant, by its name. */
  ways: z.record(NAME, z.string()),
  /** Site files, by the site's name. */
  sites: z.record(NAME, z.string()),
  /** Names of built-in simulated days, or files that describe one. */
  days: z.array(z.string()).check(z.minLength(1)),
  /** Seeds for random variations of each day; 0 runs the day unchanged. */
  seeds: z._default(z.array(z.int().check(z.minimum(0))), [0]),
  /** Maximum number of concurrent runs. */
  jobs: z._default(z.int().check(z.minimum(1), z.maximum(8)), 1),
  /** Additional arguments for each run of the program. */
  extra: z._default(z.array(z.string()), []),
});

/** A comparison, as described by its file. */
export type Comparison = Readonly<z.infer<typeof COMPARISON>>;

/** One run of a comparison: a variant on a site, day and seed. */
export interface Run {
  readonly way: string;
  readonly site: string;
  readonly day: string;
  readonly seed: number;
}

/**
 * Parses the description of a comparison.
 *
 * @param text - Description in TOML.
 * @returns The comparison, or a message about the first error.
 */
export function parseComparison(text: string): Result<Comparison, string> {
  let data: unknown;
  try {
    data = parse(text);
  } catch (error) {
    return err(`Cannot parse comparison: ${(error as Error).message.split("\n")[0]}`);
  }
  const parsed = COMPARISON.safeParse(data);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const field = issue?.path.map(String).join(".") ?? "";
    return err(`Cannot accept comparison field "${field}": ${issue?.message ?? "not valid"}`);
  }
  if (Object.keys(parsed.data.ways).length < 2) {
    return err("Cannot compare: at least two ways are required");
  }
  return ok(parsed.data);
}

/**
 * Lists the runs of a comparison. Runs of different variants on the same site, day and seed follow each other, so that
 * an interrupted comparison has complete pairs.
 *
 * @param comparison - The comparison.
 * @returns The runs, in the order to execute them.
 */
export function listRuns({ days, seeds, sites, ways }: Comparison): ReadonlyArray<Run> {
  return Object.keys(sites).flatMap((site) => {
    return days.flatMap((day) => {
      return seeds.flatMap((seed) => {
        return Object.keys(ways).map((way) => ({ way, site, day, seed }));
      });
    });
  });
}

/**
 * Builds the key that identifies a run among stored results.
 *
 * @param run - The run.
 * @returns The key.
 */
export function runKey({ way, site, day, seed }: Run): string {
  return [way, site, day, seed].join(" ");
}
