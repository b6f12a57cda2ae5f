/**
 * The membership table of one daemon, in the manner of SWIM: each second it exchanges with one
 * other daemon; who does not answer is suspected, may speak up, and else is taken for dead. What
 * changed rides on the next exchanges, so the traffic of a daemon does not grow with their number.
 *
 * Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol", 2002.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import type { Member, Role } from "../model/mod.js";
import { overrides } from "./member_order.js";

/** Time a suspected daemon has to speak up, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 2_500;

/** Time a dead daemon is remembered, so that old news does not revive it, in milliseconds. */
export const DEAD_RETENTION_MS = 300_000;

/** Accounts that ride on one exchange at most. */
const RIDERS = 12;

/** Accounts picked at random for each exchange, to mend what was missed. */
const RANDOM_RIDERS = 3;

/** A member with what this daemon notes beside it. */
export interface MemberRecord {
  readonly member: Member;
  /** When this daemon took in the account, on its own clock. */
  readonly changedAtMs: number;
  /** Exchanges that the account still rides on. */
  readonly transmissionsLeft: number;
}

/** What one daemon knows of all. */
export interface Membership {
  readonly self: Member;
  readonly records: ImmutableMap<string, MemberRecord>;
}

/**
 * Starts a table with the daemon alone.
 *
 * @param self - The daemon.
 * @returns The table.
 */
export function createMembership(self: Member): Membership {
  return { self, records: ImmutableMap() };
}

/**
 * Takes in accounts of daemons.
 *
 * @param membership - The table so far.
 * @param members - Accounts heard.
 * @param options - The present moment.
 * @returns The table after that, and the accounts that changed it.
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
      self = answerRumour(self, member);
      continue;
    }
    const held = records.get(member.memberId);
    if (held === undefined || overrides(member, held.member)) {
      const ridesLeft = ridesFor(records.size);
      records = records.set(member.memberId, {
        member,
        changedAtMs: nowMs,
        transmissionsLeft: ridesLeft,
      });
      changed.push(member);
    }
  }
  return { membership: { self, records }, changed };
}

/** Speaks up when others hold an account of this daemon that would override the true one. */
function answerRumour(self: Member, heard: Member): Member {
  if (heard.incarnation !== self.incarnation) {
    return overrides(heard, self)
      ? { ...self, startedAtEpochMs: heard.startedAtEpochMs + 1, version: self.version + 1 }
      : self;
  }
  const same = heard.state === self.state;
  return !same && overrides(heard, self) ? { ...self, version: heard.version + 1 } : self;
}

function ridesFor(memberCount: number): number {
  return 3 * Math.ceil(Math.log2(memberCount + 2));
}

/**
 * Notes that a daemon did not answer.
 *
 * @param membership - The table so far.
 * @param memberId - Who did not answer.
 * @param options - The present moment.
 * @returns The table after that.
 */
export function suspectMember(
  membership: Membership,
  memberId: string,
  { nowMs }: { readonly nowMs: number },
): Membership {
  const held = membership.records.get(memberId);
  if (held === undefined || held.member.state === "suspect" || held.member.state === "dead") {
    return membership;
  }
  // A leaving daemon that falls silent has ended as it said it would.
  const state = held.member.state === "leaving" ? "dead" : "suspect";
  return mergeMembers(membership, [{ ...held.member, state }], { nowMs }).membership;
}

/**
 * Takes suspected daemons for dead once their time is up, and forgets the long dead.
 *
 * @param membership - The table so far.
 * @param options - The present moment.
 * @returns The table after that.
 */
export function expireMembers(
  membership: Membership,
  { nowMs }: { readonly nowMs: number },
): Membership {
  const overdue = [...membership.records.values()]
    .filter(({ member, changedAtMs }) => {
      return member.state === "suspect" && nowMs - changedAtMs >= SUSPICION_TIMEOUT_MS;
    })
    .map(({ member }) => ({ ...member, state: "dead" as const }));
  const aged = mergeMembers(membership, overdue, { nowMs }).membership;
  const records = aged.records.filter(({ member, changedAtMs }) => {
    return member.state !== "dead" || nowMs - changedAtMs < DEAD_RETENTION_MS;
  });
  return records.size === aged.records.size ? aged : { ...aged, records };
}

/**
 * Picks the accounts that ride on one exchange: those changed last, and a few at random.
 *
 * @param membership - The table so far.
 * @param pick - Gives a whole number from 0 up to but without its argument.
 * @returns The accounts, and the table with their rides counted.
 */
export function selectPiggybackMembers(
  membership: Membership,
  pick: (count: number) => number,
): { readonly membership: Membership; readonly piggybackMembers: ReadonlyArray<Member> } {
  const fresh = [...membership.records.values()]
    .filter((record) => record.transmissionsLeft > 0)
    .sort((a, b) => b.transmissionsLeft - a.transmissionsLeft)
    .slice(0, RIDERS);
  let records = membership.records;
  for (const record of fresh) {
    const counted = { ...record, ridesLeft: record.transmissionsLeft - 1 };
    records = records.set(record.member.memberId, counted);
  }
  const all = [...membership.records.values()];
  const random = Array.from({ length: Math.min(RANDOM_RIDERS, all.length) }, () => {
    return all[pick(all.length)];
  }).filter((record) => record !== undefined);
  const riders = new Set([...fresh, ...random].map((record) => record.member));
  return { membership: { ...membership, records }, piggybackMembers: [...riders] };
}

// Counts depend on the records alone; the memo only saves work.
const COUNTS = new WeakMap<Membership["records"], Map<Role, number>>();

/**
 * Counts the daemons of a role that can be given work, this one always included in its own.
 *
 * @param membership - The table.
 * @param role - Role wanted.
 * @returns How many.
 */
export function countAlive(membership: Membership, role: Role): number {
  const { records, self } = membership;
  const counts = COUNTS.get(records) ?? new Map<Role, number>();
  COUNTS.set(records, counts);
  const others =
    counts.get(role) ??
    records.count(({ member }) => member.role === role && member.state === "alive");
  counts.set(role, others);
  return others + (self.role === role ? 1 : 0);
}

/**
 * Lists the daemons of a role that can be given work, this one included.
 *
 * @param membership - The table.
 * @param role - Role wanted.
 * @returns Members that are alive.
 */
export function aliveMembers(membership: Membership, role: Role): ReadonlyArray<Member> {
  const others = [...membership.records.values()].map((record) => record.member);
  return [membership.self, ...others].filter((member) => {
    return member.role === role && member.state === "alive";
  });
}
