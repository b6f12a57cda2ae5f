/**
 * Commands on services and shard maps.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { createTwoFilesPatch } from "diff";
import type { CatalogObject } from "../model/mod.js";
import { CommandError, callEntry, errorMessage, readJsonFile } from "./_entry_http.js";
import {
  type Command,
  type CommandContext,
  type CommandResult,
  type CommandSettings,
  EXIT_CODES,
  SUBMIT_SPECS,
} from "./command.js";
import { readStatus } from "./status_command.js";

/** Interval of polling the daemons until a change is in force, in milliseconds. */
const POLL_INTERVAL_MS = 100;

/** A collection of objects that commands operate on. */
export interface Collection {
  readonly noun: string;
  readonly path: string;
  readonly kind: string;
}

/**
 * Returns the commands of a collection.
 *
 * @param collection - The collection.
 * @returns The commands by name.
 */
export function objectCommands(collection: Collection): Readonly<Record<string, Command>> {
  const { noun } = collection;
  const plain = { specs: {}, positionalCount: 1 };
  return {
    [`${noun} list`]: {
      ...plain,
      positionalCount: 0,
      usage: "",
      help: `Lists each ${noun} with its revision in force`,
      run: (context) => list(collection, context),
    },
    [`${noun} get`]: {
      ...plain,
      usage: "NAME",
      help: `Prints a ${noun} as it is in force`,
      run: (context) => get(collection, context),
    },
    [`${noun} submit`]: {
      ...plain,
      usage: "FILE",
      help: `Submits a ${noun} from a JSON file`,
      specs: SUBMIT_SPECS,
      run: (context) => submit(collection, context),
    },
    [`${noun} remove`]: {
      ...plain,
      usage: "NAME",
      help: `Removes a ${noun}`,
      specs: SUBMIT_SPECS,
      run: (context) => remove(collection, context),
    },
    [`${noun} diff`]: {
      ...plain,
      usage: "FILE",
      help: `Shows what submitting a file would change`,
      run: (context) => diff(collection, context),
    },
    [`${noun} history`]: {
      ...plain,
      usage: "NAME",
      help: `Shows who changed a ${noun} and when`,
      run: (context) => history(collection, context),
    },
  };
}

async function list({ path }: Collection, { settings }: CommandContext): Promise<CommandResult> {
  const { body } = await callEntry(settings.entry, { method: "GET", path: `/v1/${path}` });
  const { objects } = body as {
    readonly objects: ReadonlyArray<{ readonly name: string; readonly revision: number }>;
  };
  const lines = objects.map(({ name, revision }) => `${name} revision ${revision}`);
  return { exitCode: EXIT_CODES.ok, lines, data: body };
}

async function readObject(
  { path, noun }: Collection,
  { settings, positionals }: CommandContext,
): Promise<CatalogObject> {
  const name = positionals[0] ?? "";
  const answer = await callEntry(settings.entry, { method: "GET", path: `/v1/${path}/${name}` });
  if (answer.statusCode !== 200) {
    throw new CommandError(`Cannot find ${noun} "${name}"`, EXIT_CODES.failed);
  }
  return answer.body as CatalogObject;
}

async function get(collection: Collection, context: CommandContext): Promise<CommandResult> {
  const object = await readObject(collection, context);
  const lines = [JSON.stringify(object.value, null, 2)];
  return { exitCode: EXIT_CODES.ok, lines, data: object };
}

async function history(collection: Collection, context: CommandContext): Promise<CommandResult> {
  const object = await readObject(collection, context);
  const lines = object.history.map(({ revision, author, submissionId, submittedAtEpochMs }) => {
    const submittedAt = new Date(submittedAtEpochMs).toISOString();
    return `revision ${revision} by ${author} at ${submittedAt}, submission ${submissionId}`;
  });
  return { exitCode: EXIT_CODES.ok, lines, data: object.history };
}

async function diff(collection: Collection, context: CommandContext): Promise<CommandResult> {
  const [file = ""] = context.positionals;
  const value = readJsonFile(file);
  const positionals = [nameOf(value)];
  const current = await readObject(collection, { ...context, positionals }).catch(() => undefined);
  const before = current === undefined ? "" : `${JSON.stringify(current.value, null, 2)}\n`;
  const after = `${JSON.stringify(value, null, 2)}\n`;
  const title = current === undefined ? "not there" : `revision ${current.revision}`;
  const patch = createTwoFilesPatch(title, file, before, after);
  const lines = before === after ? ["no difference"] : [patch.trimEnd()];
  return { exitCode: EXIT_CODES.ok, lines, data: { differs: before !== after, patch } };
}

function nameOf(value: unknown): string {
  const { service } = (value ?? {}) as { readonly service?: unknown };
  if (typeof service !== "string") {
    throw new CommandError('Cannot accept the file: field "service" is missing', EXIT_CODES.usage);
  }
  return service;
}

async function submit(collection: Collection, context: CommandContext): Promise<CommandResult> {
  const value = readJsonFile(context.positionals[0] ?? "");
  return change(collection, context, { method: "PUT", name: nameOf(value), body: value });
}

async function remove(collection: Collection, context: CommandContext): Promise<CommandResult> {
  return change(collection, context, { method: "DELETE", name: context.positionals[0] ?? "" });
}

interface Change {
  readonly method: "PUT" | "DELETE";
  readonly name: string;
  readonly body?: unknown;
}

interface SubmitBody {
  readonly outcome?: string;
  readonly revision: number;
  readonly message: string;
}

const OUTCOME_CODES: Readonly<Record<string, number>> = {
  accepted: EXIT_CODES.ok,
  conflict: EXIT_CODES.conflict,
  unclear: EXIT_CODES.unclear,
  "not run": EXIT_CODES.failed,
};

async function change(
  collection: Collection,
  { settings }: CommandContext,
  { method, name, body }: Change,
): Promise<CommandResult> {
  const submissionId = settings.submission === "" ? randomUUID() : settings.submission;
  const query = new URLSearchParams({ author: settings.author, submission: submissionId });
  if (settings.base !== "") {
    query.set("base", settings.base);
  }
  const path = `/v1/${collection.path}/${name}?${query}`;
  const answer = await callEntry(settings.entry, { method, path, body }).catch((error: Error) => {
    // The connection failed after the submission may have been sent.
    const message = `${error.message}; it is unclear whether the change took effect, submit it again with --submission ${submissionId}`;
    throw new CommandError(message, EXIT_CODES.unclear);
  });
  const result = answer.body as SubmitBody;
  if (result.outcome === undefined) {
    throw new CommandError(errorMessage(answer.body), EXIT_CODES.usage);
  }
  const lines = [`${collection.noun} ${name}: ${result.message} (submission ${submissionId})`];
  const exitCode = OUTCOME_CODES[result.outcome] ?? EXIT_CODES.failed;
  if (exitCode !== EXIT_CODES.ok || !settings.wait) {
    return { exitCode, lines, data: result };
  }
  const key = `${collection.kind}/${name}`;
  const waitResult = await waitInForce(settings, { key, revision: result.revision });
  return {
    ...waitResult,
    lines: [...lines, ...waitResult.lines],
    data: { ...result, waited: waitResult.data },
  };
}

interface AwaitedRevision {
  readonly key: string;
  readonly revision: number;
}

async function waitInForce(
  settings: CommandSettings,
  { key, revision }: AwaitedRevision,
): Promise<CommandResult> {
  const startedAtMs = performance.now();
  while (true) {
    const daemons = await readStatus(settings.entry);
    const unreached = daemons.filter((daemon) => !daemon.reached).map((each) => each.memberId);
    const behind = daemons
      .filter((daemon) => daemon.reached && (daemon.report?.revisions[key] ?? 0) < revision)
      .map((each) => each.memberId);
    const tookMs = Math.round(performance.now() - startedAtMs);
    if (behind.length === 0) {
      const summary = `in force on ${daemons.length - unreached.length} daemons after ${tookMs} ms`;
      const lines =
        unreached.length === 0 ? [summary] : [summary, `unreachable: ${unreached.join(", ")}`];
      return { exitCode: EXIT_CODES.ok, lines, data: { inForce: true, tookMs, unreached } };
    }
    if (tookMs > settings["wait-ms"]) {
      const lines = [`not yet in force on ${behind.join(", ")}`];
      return { exitCode: EXIT_CODES.failed, lines, data: { inForce: false, behind, unreached } };
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
