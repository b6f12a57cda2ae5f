/**
 * Tells requests that ask for the same thing: a repeat has an id of its own, and only its content shows that
 * it is one.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Characters of a fingerprint, 6 bits each: 96 bits, so that two requests never share one by chance. */
const FINGERPRINT_CHARACTERS = 16;

/** Stands between the parts, which cannot hold it. */
const SEPARATOR = "\n";

/** What makes two requests the same. */
export interface RequestContent {
  readonly method: string;
  /** Who asks, as the host that the request is for. */
  readonly caller: string;
  /** Path with its query. */
  readonly path: string;
  readonly body: Buffer | undefined;
}

/**
 * Works out the fingerprint of a request.
 *
 * @param content - What the request asks for.
 * @returns The same text for the same content.
 */
export function requestFingerprint({ method, caller, path, body }: RequestContent): string {
  const hash = createHash("sha256").update([method, caller, path, ""].join(SEPARATOR));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest("base64url").slice(0, FINGERPRINT_CHARACTERS);
}
