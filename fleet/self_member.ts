/**
 * This box's own membership record.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { Member } from "../model/mod.js";
import type { BoxSettings } from "../platform/mod.js";

/**
 * Number of random bytes that identify an incarnation of a box; few, as each datagram contains
 * them.
 */
const INCARNATION_BYTES = 6;

/**
 * Creates the membership record of a box that is starting.
 *
 * @param settings - Settings of the box.
 * @returns The record, with a new incarnation.
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
