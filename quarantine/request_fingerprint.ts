/**
 * Fingerprints that identify requests by content, since a repeated request has a new id.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Length of a fingerprint in characters of 6 bits each: 96 bits make collisions negligible. */
const FINGERPRINT_CHARACTERS = 16;

/** Separates the hashed fields, which cannot contain it. */
const SEPARATOR = "\n";

/** The content that identifies a request. */
export interface RequestContent {
  readonly method: string;
  /** Host that the request is addressed to; identifies the caller. */
  readonly caller: string;
  /** Path with query string. */
  readonly path: string;
  readonly body: Buffer | undefined;
}

/**
 * Computes the fingerprint of a request.
 *
 * @param content - Content of the request.
 * @returns The fingerprint; equal for equal content.
 */
export function requestFingerprint({ method, caller, path, body }: RequestContent): string {
  const hash = createHash("sha256").update([method, caller, path, ""].join(SEPARATOR));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest("base64url").slice(0, FINGERPRINT_CHARACTERS);
}
