/**
 * Compiles policy source text into programs and reports errors with their position.
 *
 * @module
 */
import { celEnv, isCelError, parse, plan } from "@bufbuild/cel";
import { err, ok, type Result } from "neverthrow";
import type { PolicyKind, PolicySources } from "../model/mod.js";
import { findUndefinedName } from "./_check_names.js";
import { type PolicyInput, SAMPLE_INPUT } from "./policy_input.js";

/** A compilation error. */
export interface PolicyError {
  readonly kind: "policy";
  /** The decision that the program makes. */
  readonly policy: PolicyKind;
  /** Line of the error, starting at 1; 0 if unknown. */
  readonly line: number;
  /** Column of the error, starting at 1; 0 if unknown. */
  readonly column: number;
  /** Human-readable description of the error. */
  readonly message: string;
}

/** Result of a program: a value or an error message. */
export type ProgramResult = Result<unknown, string>;

/** A compiled program. */
export type Program = (input: PolicyInput) => ProgramResult;

/** The compiled programs of a service, by decision. */
export type Programs = { readonly [K in PolicyKind]?: Program };

/** Placement strategies. */
export const PLACEMENTS = ["least-loaded", "nearest", "spread"] as const;

/** A placement strategy. */
export type Placement = (typeof PLACEMENTS)[number];

interface ResultConstraint {
  readonly accepts: (value: unknown) => boolean;
  readonly expected: string;
}

/** Constraints on the result of each decision's program. */
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
 * Compiles all programs of a service and runs each on a sample request.
 *
 * @param sources - CEL source text of the programs.
 * @returns The programs, or the first error with its position.
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
 * Compiles one program and runs it on a sample request.
 *
 * @param policy - The decision that the program makes.
 * @param source - CEL source text.
 * @returns The program, or an error with its position.
 */
export function compilePolicy(policy: PolicyKind, source: string): Result<Program, PolicyError> {
  try {
    const parsed = parse(source);
    const positions = parsed.sourceInfo?.positions ?? {};
    const undefinedName = findUndefinedName(parsed.expr);
    if (undefinedName !== undefined) {
      const position = positionAt(source, positions[undefinedName.exprId] ?? -1);
      const message = `Cannot accept policy "${policy}": unknown name "${undefinedName.name}"`;
      return err({ kind: "policy", policy, ...position, message });
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
    const { accepts, expected } = RESULT_CONSTRAINTS[policy];
    if (!accepts(plainValue(sample))) {
      const message = `Cannot accept the result of "${policy}": expected ${expected}`;
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

function isNumberBetween(value: unknown, min: number, max: number): boolean {
  return typeof value === "number" && value >= min && value <= max;
}

interface LocatedError {
  readonly location?: { readonly start?: { readonly line: number; readonly column: number } };
  readonly rawMessage?: string;
}

function syntaxError(policy: PolicyKind, error: unknown): PolicyError {
  const located = error as LocatedError;
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

interface ExpressionError {
  readonly exprId?: bigint;
  readonly cause?: unknown;
}

function firstOffset(error: ExpressionError, positions: Readonly<Record<string, number>>): number {
  const causes = Array.isArray(error.cause) ? error.cause : [];
  const inner = causes.length > 0 ? firstOffset(causes[0] as ExpressionError, positions) : -1;
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
