/**
 * Writes a change of configuration to the platform so that it is clear who won.
 *
 * A change is accepted when a conditional write took effect. Where a reply is lost, the same write
 * is sent again: it can only take effect once, since it names the version it replaces, and the
 * object's history tells whether it was this submission that did.
 *
 * @module
 */
import {
  type CatalogObject,
  HISTORY_ENTRIES,
  type HistoryEntry,
  type ObjectKind,
} from "../model/mod.js";
import type { PlatformPort, VersionedObject } from "../platform/platform_port.js";
import { objectKey } from "./catalog.js";

/** A change that an operator submits. */
export interface Submission {
  readonly kind: ObjectKind;
  readonly name: string;
  /** New value, already checked; nothing when the object is to be removed. */
  readonly value: unknown;
  readonly deleted: boolean;
  /** Never the same for two submissions; the same when one is sent again. */
  readonly submissionId: string;
  readonly author: string;
  /** Revision that the operator has seen and means to replace; 0 for a new object. */
  readonly baseRevision: number;
  readonly submittedAtEpochMs: number;
}

/** What became of a submission. */
export type SubmitOutcome =
  | {
      readonly kind: "accepted";
      /** Revision that this submission made. */
      readonly revision: number;
      /** The object as it stands now; a later change may be in it already. */
      readonly object: CatalogObject;
    }
  | { readonly kind: "conflict"; readonly winner: CatalogObject | undefined }
  /** It may take effect later; asking again with the same submission id settles it. */
  | { readonly kind: "unclear"; readonly message: string }
  | { readonly kind: "notRun"; readonly message: string };

/** How a submission is carried out. */
export interface SubmitOptions {
  /** Highest revision of the object that this box knows. */
  readonly knownRevision: number;
  /** Tries before an outcome is given up as unclear. */
  readonly maxAttempts?: number;
  /** Waits between tries; a promise that resolves at once in tests. */
  readonly pause: (tryNumber: number) => Promise<void>;
}

const DEFAULT_TRIES = 5;

/**
 * Submits a change.
 *
 * @param platform - The platform.
 * @param submission - The change.
 * @param options - What this box knows and how long to try.
 * @returns What became of it.
 */
export async function submitObject(
  platform: PlatformPort,
  submission: Submission,
  options: SubmitOptions,
): Promise<SubmitOutcome> {
  const tries = options.maxAttempts ?? DEFAULT_TRIES;
  let maySent = false;
  let message = "";
  for (let tryNumber = 1; tryNumber <= tries; tryNumber++) {
    const tried = await tryOnce(platform, submission, options.knownRevision);
    if (tried.kind === "settled") {
      return tried.outcome;
    }
    maySent = maySent || tried.maySent;
    message = tried.message;
    await options.pause(tryNumber);
  }
  return maySent ? { kind: "unclear", message } : { kind: "notRun", message };
}

type Tried =
  | { readonly kind: "settled"; readonly outcome: SubmitOutcome }
  | { readonly kind: "open"; readonly maySent: boolean; readonly message: string };

async function tryOnce(
  platform: PlatformPort,
  submission: Submission,
  knownRevision: number,
): Promise<Tried> {
  const key = objectKey(submission.kind, submission.name);
  const read = await platform.readObject(key);
  if (read.isErr()) {
    return { kind: "open", maySent: false, message: read.error.message };
  }
  const settled = settledBy(read.value, submission, knownRevision);
  if (settled !== undefined) {
    return { kind: "settled", outcome: settled };
  }
  const object = nextObject(read.value.object, submission, knownRevision);
  const written = await platform.writeObject(key, object, { expectedVersion: read.value.version });
  if (written.isOk()) {
    const { revision } = object;
    return { kind: "settled", outcome: { kind: "accepted", revision, object } };
  }
  const { kind, message } = written.error;
  // After a conflict the next read tells who won: this submission, sent before, or another.
  return { kind: "open", maySent: kind !== "unreachable" && kind !== "conflict", message };
}

function settledBy(
  { object }: VersionedObject,
  { submissionId, baseRevision }: Submission,
  knownRevision: number,
): SubmitOutcome | undefined {
  const own = object?.history.find((entry) => entry.submissionId === submissionId);
  if (object !== undefined && own !== undefined) {
    return { kind: "accepted", revision: own.revision, object };
  }
  const stored = object?.revision ?? 0;
  const replaced = object?.deleted === true ? [0, stored] : [stored];
  // A platform that was set back holds less than is in force; what is in force is replaced then.
  const wasSetBack = stored < knownRevision && baseRevision === knownRevision;
  return wasSetBack || replaced.includes(baseRevision)
    ? undefined
    : { kind: "conflict", winner: object };
}

function nextObject(
  current: CatalogObject | undefined,
  submission: Submission,
  knownRevision: number,
): CatalogObject {
  const { kind, name, value, deleted, submissionId, author, submittedAtEpochMs } = submission;
  // A platform that was set back must not hand out a revision that boxes already hold.
  const revision = Math.max(current?.revision ?? 0, knownRevision) + 1;
  const entry: HistoryEntry = { revision, submissionId, author, submittedAtEpochMs };
  const history = [entry, ...(current?.history ?? [])].slice(0, HISTORY_ENTRIES);
  return { kind, name, revision, deleted, history, value: deleted ? null : value };
}
