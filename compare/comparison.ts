/**
 * What is compared: ways of one decision, each a checkout of its own, on the same sites, days and seeds.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { parse } from "smol-toml";
import * as z from "zod/mini";

const NAME = z.string().check(z.regex(/^[\w.-]+$/));

const COMPARISON = z.object({
  /** The decision that the ways differ in. */
  decision: z.string(),
  /** Folder of each way's checkout, by the way's name. */
  ways: z.record(NAME, z.string()),
  /** Site file, by the site's name. */
  sites: z.record(NAME, z.string()),
  /** Names of days, or files of own ones. */
  days: z.array(z.string()).check(z.minLength(1)),
  /** Seeds of varied days; 0 plays a day as it is written. */
  seeds: z._default(z.array(z.int().check(z.minimum(0))), [0]),
  /** Plays at a time. */
  jobs: z._default(z.int().check(z.minimum(1), z.maximum(8)), 1),
  /** Further arguments of each play. */
  extra: z._default(z.array(z.string()), []),
});

/** A comparison as its file describes it. */
export type Comparison = Readonly<z.infer<typeof COMPARISON>>;

/** One play of a comparison. */
export interface Play {
  readonly way: string;
  readonly site: string;
  readonly day: string;
  readonly seed: number;
}

/**
 * Reads a comparison.
 *
 * @param text - TOML.
 * @returns The comparison, or one sentence on the first fault.
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
    return err("Cannot compare: at least two ways are wanted");
  }
  return ok(parsed.data);
}

/**
 * Lists the plays of a comparison, those that are paired one after the other, so that a comparison that is broken off
 * has whole pairs.
 *
 * @param comparison - The comparison.
 * @returns The plays.
 */
export function playsOf({ days, seeds, sites, ways }: Comparison): ReadonlyArray<Play> {
  return Object.keys(sites).flatMap((site) => {
    return days.flatMap((day) => {
      return seeds.flatMap((seed) => {
        return Object.keys(ways).map((way) => ({ way, site, day, seed }));
      });
    });
  });
}

/**
 * Names a play, so that one that has been played is found again.
 *
 * @param play - The play.
 * @returns The name.
 */
export function keyOf({ way, site, day, seed }: Play): string {
  return [way, site, day, seed].join(" ");
}
