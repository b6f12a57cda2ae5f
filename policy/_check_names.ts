/**
 * Finds references to undefined names in a parsed policy program.
 *
 * @module
 */
import { SAMPLE_INPUT } from "./policy_input.js";

/** An undefined name, and the id of the expression that uses it. */
export interface UndefinedName {
  readonly name: string;
  readonly exprId: string;
}

interface Node {
  readonly id?: bigint;
  readonly exprKind?: {
    readonly case?: string;
    readonly value?: Readonly<Record<string, unknown>>;
  };
}

/**
 * Finds the first undefined name in any branch of an expression.
 *
 * @param expr - The parsed expression.
 * @param locals - Variables bound by enclosing macros.
 * @returns The name, or `undefined` if all names are defined.
 */
export function findUndefinedName(
  expr: unknown,
  locals: ReadonlySet<string> = new Set(),
): UndefinedName | undefined {
  const { id, exprKind } = expr as Node;
  const value = exprKind?.value;
  if (value === undefined) {
    return undefined;
  }
  const exprId = String(id);
  if (exprKind?.case === "identExpr") {
    const name = String(value.name);
    return locals.has(name) || Object.hasOwn(SAMPLE_INPUT, name) ? undefined : { name, exprId };
  }
  if (exprKind?.case === "selectExpr") {
    return undefinedField(value, exprId) ?? findUndefinedName(value.operand, locals);
  }
  return findInChildren(value, withBoundNames(value, locals));
}

function undefinedField(
  { operand, field }: Readonly<Record<string, unknown>>,
  exprId: string,
): UndefinedName | undefined {
  const kind = (operand as Node | undefined)?.exprKind;
  const root = kind?.case === "identExpr" ? String(kind.value?.name) : "";
  const known = (SAMPLE_INPUT as unknown as Readonly<Record<string, object>>)[root];
  const name = String(field);
  return known === undefined || Object.hasOwn(known, name)
    ? undefined
    : { name: `${root}.${name}`, exprId };
}

function withBoundNames(
  { iterVar, iterVar2, accuVar }: Readonly<Record<string, unknown>>,
  locals: ReadonlySet<string>,
): ReadonlySet<string> {
  const bound = [iterVar, iterVar2, accuVar].filter((name) => typeof name === "string");
  return bound.length === 0 ? locals : new Set([...locals, ...bound]);
}

function findInChildren(
  value: Readonly<Record<string, unknown>>,
  locals: ReadonlySet<string>,
): UndefinedName | undefined {
  for (const child of Object.values(value).flat()) {
    if (typeof child === "object" && child !== null) {
      const found = findUndefinedName(child, locals) ?? findInEntry(child, locals);
      if (found !== undefined) {
        return found;
      }
    }
  }
  return undefined;
}

/** Checks an entry of a map or message, whose expressions are nested one level deeper. */
function findInEntry(entry: object, locals: ReadonlySet<string>): UndefinedName | undefined {
  const { value, keyKind } = entry as {
    readonly value?: unknown;
    readonly keyKind?: { readonly value?: unknown };
  };
  const children = [value, keyKind?.value].filter(
    (each) => typeof each === "object" && each !== null,
  );
  return children
    .map((each) => findUndefinedName(each, locals))
    .find((found) => found !== undefined);
}
