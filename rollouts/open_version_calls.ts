/**
 * Counts the open calls of this box by service and version.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";

/** Open calls to leafs that report a version. */
export class OpenVersionCalls {
  readonly #counts = new Map<string, Map<string, number>>();

  /**
   * Records that a call was sent or has ended.
   *
   * @param leaf - The leaf that was called.
   * @param change - 1 if a call was sent, -1 if it has ended.
   */
  record({ service, version }: Leaf, change: 1 | -1): void {
    if (version === undefined) {
      return;
    }
    const versions = this.#counts.get(service) ?? new Map<string, number>();
    const count = (versions.get(version) ?? 0) + change;
    if (count > 0) {
      versions.set(version, count);
    } else {
      versions.delete(version);
    }
    this.#counts.set(service, versions);
  }

  /**
   * Returns whether a call is open to another version of a service.
   *
   * @param service - The service.
   * @param targetVersion - The version whose calls do not matter.
   * @returns Whether any is open.
   */
  hasOther(service: string, targetVersion: string): boolean {
    const versions = this.#counts.get(service);
    if (versions === undefined || versions.size === 0) {
      return false;
    }
    return versions.size > 1 || !versions.has(targetVersion);
  }
}
