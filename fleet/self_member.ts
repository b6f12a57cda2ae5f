/**
 * This box as the others will know it.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { Member } from "../model/mod.js";
import type { BoxSettings } from "../platform/mod.js";

/** Random bytes that tell two runs of a box apart; few, as they are in each datagram. */
const INCARNATION_BYTES = 6;

/**
 * Makes the account of a box that is starting.
 *
 * @param settings - Its settings.
 * @returns The account, of a run that no other is like.
 */
export function selfMember(settings: BoxSettings): Member {
  const { box, address, dataCentre, callers, peers, processorCores } = settings;
  return {
    memberId: box,
    incarnation: randomBytes(INCARNATION_BYTES).toString("hex"),
    startedAtEpochMs: Date.now(),
    version: 1,
    state: "joining",
    role: "entry",
    box,
    dataCentre,
    address,
    peerPort: peers.port,
    callerPort: callers.port,
    processorCores,
  };
}
