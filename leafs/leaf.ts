/**
 * A leaf as its own entry in the registry tells of it.
 *
 * @module
 */

/** One leaf of a service. */
export interface Leaf {
  /** Names one run of the leaf; a restart has another. */
  readonly leafId: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** Whether it has said that it will end and takes no new work. */
  readonly draining: boolean;
  /** Time for which it is still slow after its start, in milliseconds, as of its entry. */
  readonly warmingForMs: number;
}
