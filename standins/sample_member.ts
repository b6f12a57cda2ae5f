/**
 * A box for tests of the membership.
 *
 * @module
 */
import type { Member } from "../model/mod.js";

/**
 * Creates a member in state `alive`.
 *
 * @param overrides - Fields to override; the others have default values.
 * @returns The member.
 */
export function sampleMember(overrides: Partial<Member> = {}): Member {
  return {
    memberId: "box-1",
    incarnation: "1",
    startedAtEpochMs: 0,
    version: 1,
    state: "alive",
    role: "entry",
    box: overrides.memberId ?? "box-1",
    dataCentre: "hall-a",
    address: "127.0.0.1",
    peerPort: 1,
    callerPort: 1,
    ...overrides,
  };
}
