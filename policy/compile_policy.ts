/**
 * Turns policy source text into programs, and finds faults with their position.
 *
 * @module
 */
import { celEnv, isCelError, parse, plan } from "@bufbuild/cel";
import { err, ok, type Result } from "neverthrow";
import type { PolicyKind, PolicySources } from "../model/mod.js";
import { findUnknownName } from "./_check_names.js";
import { type PolicyInput, SAMPLE_INPUT } from "./policy_input.js";

/** Why a policy program is not accepted. */
export interface PolicyError {
  readonly kind: "policy";
  /** Decision that the program is for. */
  readonly policy: PolicyKind;
  /** Line of the fault, from 1; 0 where it has none. */
  readonly line: number;
  /** Column of the fault, from 1; 0 where it has none. */
  readonly column: number;
  /** One sentence for a person. */
  readonly message: string;
}

/** What a program returns once it ran: a value, or the sentence that says why not. */
export type ProgramResult = Result<unknown, string>;

/** A program ready to run. */
export type Program = (input: PolicyInput) => ProgramResult;

/** A service's programs by decision. */
export type Programs = { readonly [K in PolicyKind]?: Program };

/** Ways to place a service's calls. */
export const PLACEMENTS = ["least-loaded", "nearest", "spread"] as const;

/** A way to place calls. */
export type Placement = (typeof PLACEMENTS)[number];

interface ResultConstraint {
  readonly accepts: (value: unknown) => boolean;
  readonly expected: string;
}

/** What each decision's program must return. */
export const RESULT_CONSTRAINTS: Readonly<Record<PolicyKind, ResultConstraint>> = {
  place: {
    accepts: (value) => PLACEMENTS.some((placement) => placement === value),
    expected: 'one of "least-loaded", "nearest", "spread"',
  },
  limit: {
    accepts: (value) => isNumberBetween(value, 0, 1e9),
    expected: "requests a second for this caller as a number of 0 (no limit) or more",
  },
  retry: {
    accepts: (value) => isNumberBetween(value, 0, 5),
    expected: "retries for each shard as a number from 0 to 5",
  },
  refuse: {
    accepts: (value) => typeof value === "string" && value.length <= 200,
    expected: "text: why the request is refused, empty to accept it",
  },
  finish: {
    accepts: (value) => isNumberBetween(value, 0, 1),
    expected: "the coverage that suffices as a number from 0 to 1",
  },
};

/**
 * Compiles all programs of a service and tries each on a sample request.
 *
 * @param sources - Programs as text.
 * @returns The programs, or the first fault with its position.
 */
export function compilePolicies(sources: PolicySources): Result<Programs, PolicyError> {
  let programs: Programs = {};
  for (const policy of Object.keys(RESULT_CONSTRAINTS) as ReadonlyArray<PolicyKind>) {
    const source = sources[policy];
    if (source === undefined) {
      continue;
    }
    const compiled = compilePolicy(policy, source);
    if (compiled.isErr()) {
      return err(compiled.error);
    }
    programs = { ...programs, [policy]: compiled.value };
  }
  return ok(programs);
}

/**
 * Compiles one program and tries it on a sample request.
 *
 * @param policy - Decision that the program is for.
 * @param source - CEL text.
 * @returns The program, or its fault with the position.
 */
export function compilePolicy(policy: PolicyKind, source: string): Result<Program, PolicyError> {
  try {
    const parsed = parse(source);
    const positions = parsed.sourceInfo?.positions ?? {};
    const unknown = findUnknownName(parsed.expr);
    if (unknown !== undefined) {
      const place = positionAt(source, positions[unknown.exprId] ?? -1);
      const message = `Cannot accept policy "${policy}": unknown name "${unknown.name}"`;
      return err({ kind: "policy", policy, ...place, message });
    }
    const evaluate = plan(celEnv(), parsed);
    const program: Program = (input) => run(evaluate, input);
    const sample = evaluate(SAMPLE_INPUT as never);
    if (isCelError(sample)) {
      const offset = firstOffset(sample, positions);
      return err({
        kind: "policy",
        policy,
        ...positionAt(source, offset),
        message: sample.message,
      });
    }
    const { accepts, expected: wanted } = RESULT_CONSTRAINTS[policy];
    if (!accepts(plainValue(sample))) {
      const message = `Cannot accept the result of "${policy}": expected ${wanted}`;
      return err({ kind: "policy", policy, line: 1, column: 1, message });
    }
    return ok(program);
  } catch (error) {
    return err(syntaxError(policy, error));
  }
}

function run(evaluate: (input: never) => unknown, input: PolicyInput): ProgramResult {
  try {
    const value = evaluate(input as never);
    return isCelError(value) ? err(value.message) : ok(plainValue(value));
  } catch (error) {
    return err(error instanceof Error ? error.message : "the program failed");
  }
}

function plainValue(value: unknown): unknown {
  return typeof value === "bigint" ? Number(value) : value;
}

function isNumberBetween(value: unknown, least: number, most: number): boolean {
  return typeof value === "number" && value >= least && value <= most;
}

interface Located {
  readonly location?: { readonly start?: { readonly line: number; readonly column: number } };
  readonly rawMessage?: string;
}

function syntaxError(policy: PolicyKind, error: unknown): PolicyError {
  const located = error as Located;
  const start = located.location?.start;
  const message = located.rawMessage ?? (error instanceof Error ? error.message : "not valid");
  return {
    kind: "policy",
    policy,
    line: start?.line ?? 0,
    column: start?.column ?? 0,
    message: `Cannot parse policy "${policy}": ${message}`,
  };
}

interface Traced {
  readonly exprId?: bigint;
  readonly cause?: unknown;
}

function firstOffset(error: Traced, positions: Readonly<Record<string, number>>): number {
  const causes = Array.isArray(error.cause) ? error.cause : [];
  const inner = causes.length > 0 ? firstOffset(causes[0] as Traced, positions) : -1;
  return inner >= 0 ? inner : (positions[String(error.exprId)] ?? -1);
}

function positionAt(
  source: string,
  offset: number,
): { readonly line: number; readonly column: number } {
  if (offset < 0) {
    return { line: 0, column: 0 };
  }
  const before = source.slice(0, offset).split("\n");
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}
