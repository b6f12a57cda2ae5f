/**
 * Combines several changes within a short time into one update of other boxes.
 *
 * @module
 */
import type { Member } from "../model/mod.js";

/** Time in which changes are combined, in milliseconds. */
const BATCH_MS = 20;

/** Collects the recipients of the next update and sends it after a short time. */
export class UpdateBatch {
  readonly #send: (members: ReadonlyArray<Member>) => void;
  readonly #recipients = new Set<() => ReadonlyArray<Member>>();
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param send - Sends an update to boxes.
   */
  constructor(send: (members: ReadonlyArray<Member>) => void) {
    this.#send = send;
  }

  /**
   * Adds recipients.
   *
   * @param members - Returns the boxes to notify; called when the update is sent.
   */
  add(members: () => ReadonlyArray<Member>): void {
    this.#recipients.add(members);
    this.#timer ??= setTimeout(() => this.#flush(), BATCH_MS);
  }

  /** Discards the next update. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #flush(): void {
    const members = [...this.#recipients].flatMap((recipients) => recipients());
    this.#recipients.clear();
    this.#timer = undefined;
    this.#send([...new Map(members.map((member) => [member.memberId, member])).values()]);
  }
}
