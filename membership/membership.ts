/**
 * The membership table of one daemon, based on SWIM: every second it probes one other daemon. A
 * daemon that does not answer is suspected and, unless it refutes the suspicion in time, considered
 * dead. Changes are piggybacked on the messages, so that the traffic of a daemon does not grow with
 * the number of daemons.
 *
 * Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol", 2002.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import type { Member, Role } from "../model/mod.js";
import { overrides } from "./member_order.js";

/** Time in which a suspected daemon can refute the suspicion, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 2_500;

/**
 * Time for which a dead daemon is remembered, so that stale records do not revive it, in
 * milliseconds.
 */
export const DEAD_RETENTION_MS = 300_000;

/** Maximum number of recently changed members in one message. */
const MAX_CHANGED_MEMBERS = 12;

/** Number of random members in each message, to repair missed changes. */
const RANDOM_MEMBERS = 3;

/** A member with local bookkeeping. */
export interface MemberRecord {
  readonly member: Member;
  /** Time at which this daemon applied the record, on its own clock. */
  readonly changedAtMs: number;
  /** Number of further messages that carry the member. */
  readonly transmissionsLeft: number;
}

/** View of the group that one daemon has. */
export interface Membership {
  readonly self: Member;
  readonly records: ImmutableMap<string, MemberRecord>;
}

/**
 * Creates a table that contains only the daemon itself.
 *
 * @param self - The daemon.
 * @returns The table.
 */
export function createMembership(self: Member): Membership {
  return { self, records: ImmutableMap() };
}

/**
 * Merges received records of daemons.
 *
 * @param membership - Current table.
 * @param members - Received records.
 * @param options - Current time, in milliseconds.
 * @returns The updated table, and the records that changed it.
 */
export function mergeMembers(
  membership: Membership,
  members: ReadonlyArray<Member>,
  { nowMs }: { readonly nowMs: number },
): { readonly membership: Membership; readonly changed: ReadonlyArray<Member> } {
  const changed: Array<Member> = [];
  let { self, records } = membership;
  for (const member of members) {
    if (member.memberId === self.memberId) {
      self = refuteRumour(self, member);
      continue;
    }
    const current = records.get(member.memberId);
    if (current === undefined || overrides(member, current.member)) {
      const transmissionsLeft = transmissionLimit(records.size);
      records = records.set(member.memberId, { member, changedAtMs: nowMs, transmissionsLeft });
      changed.push(member);
    }
  }
  return { membership: { self, records }, changed };
}

/** Refutes a received record of this daemon that would override its own. */
function refuteRumour(self: Member, received: Member): Member {
  if (received.incarnation !== self.incarnation) {
    return overrides(received, self)
      ? { ...self, startedAtEpochMs: received.startedAtEpochMs + 1, version: self.version + 1 }
      : self;
  }
  const isSameState = received.state === self.state;
  return !isSameState && overrides(received, self)
    ? { ...self, version: received.version + 1 }
    : self;
}

function transmissionLimit(memberCount: number): number {
  return 3 * Math.ceil(Math.log2(memberCount + 2));
}

/**
 * Marks a daemon that did not answer as suspected; one that was leaving is considered dead.
 *
 * @param membership - Current table.
 * @param memberId - Id of the daemon.
 * @param options - Current time, in milliseconds.
 * @returns The updated table.
 */
export function suspectMember(
  membership: Membership,
  memberId: string,
  { nowMs }: { readonly nowMs: number },
): Membership {
  const current = membership.records.get(memberId);
  if (
    current === undefined ||
    current.member.state === "suspect" ||
    current.member.state === "dead"
  ) {
    return membership;
  }
  // A leaving daemon that stops answering has shut down as announced.
  const state = current.member.state === "leaving" ? "dead" : "suspect";
  return mergeMembers(membership, [{ ...current.member, state }], { nowMs }).membership;
}

/**
 * Marks daemons dead whose suspicion timeout has passed, and removes those past the retention time
 * of dead daemons.
 *
 * @param membership - Current table.
 * @param options - Current time, in milliseconds.
 * @returns The updated table.
 */
export function expireMembers(
  membership: Membership,
  { nowMs }: { readonly nowMs: number },
): Membership {
  const expired = [...membership.records.values()]
    .filter(({ member, changedAtMs }) => {
      return member.state === "suspect" && nowMs - changedAtMs >= SUSPICION_TIMEOUT_MS;
    })
    .map(({ member }) => ({ ...member, state: "dead" as const }));
  const updated = mergeMembers(membership, expired, { nowMs }).membership;
  const records = updated.records.filter(({ member, changedAtMs }) => {
    return member.state !== "dead" || nowMs - changedAtMs < DEAD_RETENTION_MS;
  });
  return records.size === updated.records.size ? updated : { ...updated, records };
}

/**
 * Selects the members to piggyback on one message: the most recently changed, and a few random
 * ones.
 *
 * @param membership - Current table.
 * @param randomInt - Returns a random integer from 0 up to, but excluding, its argument.
 * @returns The members, and the table with their remaining transmissions updated.
 */
export function selectPiggybackMembers(
  membership: Membership,
  randomInt: (count: number) => number,
): { readonly membership: Membership; readonly piggybackMembers: ReadonlyArray<Member> } {
  const recent = [...membership.records.values()]
    .filter((record) => record.transmissionsLeft > 0)
    .sort((a, b) => b.transmissionsLeft - a.transmissionsLeft)
    .slice(0, MAX_CHANGED_MEMBERS);
  let records = membership.records;
  for (const record of recent) {
    const updated = { ...record, transmissionsLeft: record.transmissionsLeft - 1 };
    records = records.set(record.member.memberId, updated);
  }
  const all = [...membership.records.values()];
  const random = Array.from({ length: Math.min(RANDOM_MEMBERS, all.length) }, () => {
    return all[randomInt(all.length)];
  }).filter((record) => record !== undefined);
  const piggybackMembers = new Set([...recent, ...random].map((record) => record.member));
  return { membership: { ...membership, records }, piggybackMembers: [...piggybackMembers] };
}

// The counts depend only on the records, which are immutable.
const ALIVE_COUNTS = new WeakMap<Membership["records"], Map<Role, number>>();

/**
 * Counts the daemons of a role that accept work. This daemon always counts for its own role.
 *
 * @param membership - Membership table.
 * @param role - Role to count.
 * @returns The number of daemons.
 */
export function countAlive(membership: Membership, role: Role): number {
  const { records, self } = membership;
  const counts = ALIVE_COUNTS.get(records) ?? new Map<Role, number>();
  ALIVE_COUNTS.set(records, counts);
  const others =
    counts.get(role) ??
    records.count(({ member }) => member.role === role && member.state === "alive");
  counts.set(role, others);
  return others + (self.role === role ? 1 : 0);
}

/**
 * Returns the daemons of a role that accept work, including this one.
 *
 * @param membership - Membership table.
 * @param role - Role to select.
 * @returns The members that are alive.
 */
export function aliveMembers(membership: Membership, role: Role): ReadonlyArray<Member> {
  const others = [...membership.records.values()].map((record) => record.member);
  return [membership.self, ...others].filter((member) => {
    return member.role === role && member.state === "alive";
  });
}
