/**
 * Calls from the command line to an entry.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { request } from "undici";

/** An answer of an entry. */
export interface EntryResponse {
  readonly statusCode: number;
  readonly body: unknown;
}

/** A call to an entry. */
export interface EntryCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** Time for the whole call, in milliseconds; by default as long as the longest wait of a command. */
  readonly timeoutMs?: number;
}

/** What stops a command; its message is printed as it is. */
export class CommandError extends Error {
  readonly exitCode: number;

  /**
   * @param message - One sentence.
   * @param exitCode - Exit code of the program.
   */
  constructor(message: string, exitCode: number) {
    super(message);
    this.exitCode = exitCode;
  }
}

const ANSWER_MS = 70_000;

/**
 * Calls an entry.
 *
 * @param entry - Base URL of the entry.
 * @param call - The call.
 * @returns The answer.
 * @throws CommandError where the entry cannot be reached; nothing is known of the outcome then.
 */
export async function callEntry(entry: string, call: EntryCall): Promise<EntryResponse> {
  const { method, path, body, timeoutMs: answerMs = ANSWER_MS } = call;
  try {
    const answer = await request(`${entry}${path}`, {
      method,
      headersTimeout: answerMs,
      signal: AbortSignal.timeout(answerMs),
      ...(body === undefined
        ? {}
        : { body: JSON.stringify(body), headers: { "content-type": "application/json" } }),
    });
    return { statusCode: answer.statusCode, body: await answer.body.json() };
  } catch (error) {
    const { code, message } = error as Error & { readonly code?: string };
    throw new CommandError(`Cannot reach the entry at ${entry}: ${code ?? message}`, 1);
  }
}

/**
 * Reads a JSON file.
 *
 * @param path - Path of the file; `-` for standard input.
 * @returns The data.
 * @throws CommandError where there is no such file or it is not JSON.
 */
export function readJsonFile(path: string): unknown {
  let text: string;
  try {
    text = readFileSync(path === "-" ? 0 : path, "utf8");
  } catch {
    throw new CommandError(`Cannot read file "${path}"`, 2);
  }
  try {
    return JSON.parse(text);
  } catch (error) {
    const why = error instanceof Error ? error.message : "not valid";
    throw new CommandError(`Cannot parse file "${path}": ${why}`, 2);
  }
}

/**
 * Picks the sentence out of an error answer.
 *
 * @param body - Body of the answer.
 * @returns The sentence with the field at fault.
 */
export function errorMessage(body: unknown): string {
  const { error, message } = body as {
    readonly error?: { readonly message?: string; readonly field?: string };
    readonly message?: string;
  };
  const field = error?.field === undefined ? "" : ` (field ${error.field})`;
  return `${error?.message ?? message ?? "Cannot do it: no reason told"}${field}`;
}
