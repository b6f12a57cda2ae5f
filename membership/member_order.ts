/**
 * Precedence between two records of the same daemon.
 *
 * @module
 */
import type { Member, MemberState } from "../model/mod.js";

const STATE_RANKS: Readonly<Record<MemberState, number>> = {
  joining: 0,
  alive: 1,
  suspect: 2,
  leaving: 3,
  dead: 4,
};

/**
 * Reports whether one record of a daemon overrides another. The order is the same on every box: the
 * later incarnation wins, then the higher version that the daemon gave itself, then the more severe
 * state.
 *
 * @param candidate - Received record.
 * @param current - Known record.
 * @returns Whether the candidate replaces the known record.
 */
export function overrides(candidate: Member, current: Member): boolean {
  if (candidate.incarnation !== current.incarnation) {
    return candidate.startedAtEpochMs === current.startedAtEpochMs
      ? candidate.incarnation > current.incarnation
      : candidate.startedAtEpochMs > current.startedAtEpochMs;
  }
  if (candidate.version !== current.version) {
    return candidate.version > current.version;
  }
  return STATE_RANKS[candidate.state] > STATE_RANKS[current.state];
}
