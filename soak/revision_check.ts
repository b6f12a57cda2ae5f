/**
 * Checks that the revisions a daemon uses never decrease.
 *
 * @module
 */
import type { SoakSimulation } from "./soak_simulation.js";

/** Compares the revisions of each daemon with those at the previous check. */
export class RevisionCheck {
  readonly #simulation: SoakSimulation;
  readonly #lastRevisions = new Map<string, number>();

  /**
   * @param simulation - The simulation.
   */
  constructor(simulation: SoakSimulation) {
    this.#simulation = simulation;
  }

  /** Compares all revisions and records a violation for each that decreased. */
  check(): void {
    for (const { entry, pool } of this.#simulation.boxes) {
      for (const node of [entry, pool]) {
        for (const [key, { revision }] of node.state.control.catalog.objects) {
          const revisionKey = `${node.self.incarnation} ${key}`;
          if (revision < (this.#lastRevisions.get(revisionKey) ?? 0)) {
            this.#simulation.violations.push(
              `${node.self.memberId} uses an older revision of ${key} than before: ${revision}`,
            );
          }
          this.#lastRevisions.set(revisionKey, revision);
        }
      }
    }
  }
}
