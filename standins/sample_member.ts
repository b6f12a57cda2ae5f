/**
 * A box for tests that need one.
 *
 * @module
 */
import type { Member } from "../model/mod.js";

/**
 * Makes a box that is alive.
 *
 * @param given - What matters to the test; the rest is filled in.
 * @returns The box.
 */
export function sampleMember(given: Partial<Member> = {}): Member {
  return {
    memberId: "box-1",
    incarnation: "1",
    startedAtEpochMs: 0,
    version: 1,
    state: "alive",
    role: "entry",
    box: given.memberId ?? "box-1",
    dataCentre: "hall-a",
    address: "127.0.0.1",
    peerPort: 1,
    callerPort: 1,
    ...given,
  };
}
