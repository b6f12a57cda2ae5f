/**
 * Submits a configuration change to the platform with optimistic concurrency control.
 *
 * A change is accepted when a conditional write took effect. If a reply does not arrive, the write is
 * retried: it can only take effect once because it names the version that it replaces, and the
 * object's history shows whether this submission made the change.
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

/** A change submitted by an operator. */
export interface Submission {
  readonly kind: ObjectKind;
  readonly name: string;
  /** New value, already validated; ignored if the object is to be deleted. */
  readonly value: unknown;
  readonly deleted: boolean;
  /** Unique per submission; retries of a submission use the same id. */
  readonly submissionId: string;
  readonly author: string;
  /** Revision that the operator intends to replace; 0 for a new object. */
  readonly baseRevision: number;
  readonly submittedAtEpochMs: number;
}

/** Outcome of a submission. */
export type SubmitOutcome =
  | {
      readonly kind: "accepted";
      /** Revision that this submission created. */
      readonly revision: number;
      /** Current object, which may already include later changes. */
      readonly object: CatalogObject;
    }
  | { readonly kind: "conflict"; readonly winner: CatalogObject | undefined }
  /** The change may or may not take effect; submitting it again with the same id resolves this. */
  | { readonly kind: "unclear"; readonly message: string }
  | { readonly kind: "notRun"; readonly message: string };

/** Options of {@link submitObject}. */
export interface SubmitOptions {
  /** Highest revision of the object known to this box. */
  readonly knownRevision: number;
  /** Maximum number of attempts. */
  readonly maxAttempts?: number;
  /** Waits between attempts; tests may resolve immediately. */
  readonly pause: (attempt: number) => Promise<void>;
}

const DEFAULT_MAX_ATTEMPTS = 5;

/**
 * Submits a change.
 *
 * @param platform - The platform.
 * @param submission - The change.
 * @param options - Known revision and retry behaviour.
 * @returns The outcome.
 */
export async function submitObject(
  platform: PlatformPort,
  submission: Submission,
  options: SubmitOptions,
): Promise<SubmitOutcome> {
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  let maySent = false;
  let message = "";
  for (let attempt = 1; attempt <= maxAttempts; attempt++) {
    const result = await attemptOnce(platform, submission, options.knownRevision);
    if (result.kind === "settled") {
      return result.outcome;
    }
    maySent = maySent || result.maySent;
    message = result.message;
    await options.pause(attempt);
  }
  return maySent ? { kind: "unclear", message } : { kind: "notRun", message };
}

type AttemptResult =
  | { readonly kind: "settled"; readonly outcome: SubmitOutcome }
  | { readonly kind: "open"; readonly maySent: boolean; readonly message: string };

async function attemptOnce(
  platform: PlatformPort,
  submission: Submission,
  knownRevision: number,
): Promise<AttemptResult> {
  const key = objectKey(submission.kind, submission.name);
  const read = await platform.readObject(key);
  if (read.isErr()) {
    return { kind: "open", maySent: false, message: read.error.message };
  }
  const settled = resolveOutcome(read.value, submission, knownRevision);
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
  // After a conflict the next read shows whether an earlier attempt of this submission or another one won.
  return { kind: "open", maySent: kind !== "unreachable" && kind !== "conflict", message };
}

function resolveOutcome(
  { object }: VersionedObject,
  { submissionId, baseRevision }: Submission,
  knownRevision: number,
): SubmitOutcome | undefined {
  const ownEntry = object?.history.find((entry) => entry.submissionId === submissionId);
  if (object !== undefined && ownEntry !== undefined) {
    return { kind: "accepted", revision: ownEntry.revision, object };
  }
  const stored = object?.revision ?? 0;
  const replaced = object?.deleted === true ? [0, stored] : [stored];
  // A platform restored from a backup may store an older revision than the one in use, which is then replaced.
  const wasRestored = stored < knownRevision && baseRevision === knownRevision;
  return wasRestored || replaced.includes(baseRevision)
    ? undefined
    : { kind: "conflict", winner: object };
}

function nextObject(
  current: CatalogObject | undefined,
  submission: Submission,
  knownRevision: number,
): CatalogObject {
  const { kind, name, value, deleted, submissionId, author, submittedAtEpochMs } = submission;
  // A platform restored from a backup must not assign a revision that boxes already have.
  const revision = Math.max(current?.revision ?? 0, knownRevision) + 1;
  const entry: HistoryEntry = { revision, submissionId, author, submittedAtEpochMs };
  const history = [entry, ...(current?.history ?? [])].slice(0, HISTORY_ENTRIES);
  return { kind, name, revision, deleted, history, value: deleted ? null : value };
}
