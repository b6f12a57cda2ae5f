/**
 * Bodies of the callers' requests. Each follows from the id of its request, so that it can be
 * compared with what leafs receive.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * Returns the body of a request: none for half of them, and arbitrary bytes, up to some kilobytes,
 * for the others.
 *
 * @param requestId - Id of the request.
 * @returns The body, or `undefined` if the request has none.
 */
export function requestBody(requestId: string): Buffer | undefined {
  const digest = createHash("sha256").update(requestId).digest();
  const [parity = 0, repeatCount = 0] = digest;
  return parity % 2 === 0 ? undefined : Buffer.alloc(digest.length * repeatCount, digest);
}
