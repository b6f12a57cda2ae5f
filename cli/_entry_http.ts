/**
 * HTTP client of the command line, and helpers for its errors and input files.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { request } from "undici";

/** Response of an entry. */
export interface EntryResponse {
  readonly statusCode: number;
  readonly body: unknown;
}

/** Request to an entry. */
export interface EntryCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** Timeout of the call, in milliseconds; 70 s by default. */
  readonly timeoutMs?: number;
}

/** Error that ends a command; its message is printed unchanged. */
export class CommandError extends Error {
  readonly exitCode: number;

  /**
   * @param message - Message to print.
   * @param exitCode - Exit code of the program.
   */
  constructor(message: string, exitCode: number) {
    super(message);
    this.exitCode = exitCode;
  }
}

/** Error of a call to an entry. */
export class EntryError extends CommandError {
  /** Whether the request may have been sent, so that its outcome is unknown. */
  readonly mayBeSent: boolean;

  /**
   * @param message - Message to print.
   * @param options - Exit code of the program, and whether the request may have been sent.
   */
  constructor(
    message: string,
    { exitCode, mayBeSent }: { readonly exitCode: number; readonly mayBeSent: boolean },
  ) {
    super(message, exitCode);
    this.mayBeSent = mayBeSent;
  }
}

/** Codes of errors before a connection is established. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const DEFAULT_TIMEOUT_MS = 70_000;

/**
 * Calls an entry.
 *
 * @param entry - Base URL of the entry.
 * @param call - The request.
 * @returns The response.
 * @throws EntryError if the entry cannot be reached or does not answer completely.
 */
export async function callEntry(entry: string, call: EntryCall): Promise<EntryResponse> {
  const { method, path, body, timeoutMs = DEFAULT_TIMEOUT_MS } = call;
  try {
    const response = await request(`${entry}${path}`, {
      method,
      headersTimeout: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
      ...(body === undefined
        ? {}
        : { body: JSON.stringify(body), headers: { "content-type": "application/json" } }),
    });
    return { statusCode: response.statusCode, body: await response.body.json() };
  } catch (error) {
    const { code, message } = error as Error & { readonly code?: string };
    throw new EntryError(`Cannot reach the entry at ${entry}: ${code ?? message}`, {
      exitCode: 1,
      mayBeSent: code === undefined || !CONNECT_ERROR_CODES.has(code),
    });
  }
}

/**
 * Reads a JSON file.
 *
 * @param path - Path of the file; `-` for standard input.
 * @returns The parsed data.
 * @throws CommandError if the file cannot be read or is not valid JSON.
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
    const reason = error instanceof Error ? error.message : "not valid";
    throw new CommandError(`Cannot parse file "${path}": ${reason}`, 2);
  }
}

/**
 * Extracts the message from an error response.
 *
 * @param body - Body of the response.
 * @returns The message with the name of the invalid field.
 */
export function errorMessage(body: unknown): string {
  const { error, message } = body as {
    readonly error?: { readonly message?: string; readonly field?: string };
    readonly message?: string;
  };
  const field = error?.field === undefined ? "" : ` (field ${error.field})`;
  return `${error?.message ?? message ?? "Request failed: no reason given"}${field}`;
}
