/**
 * Selects the addresses that a box returns to callers that look up the fleet.
 *
 * @module
 */
import type { Member } from "../model/mod.js";
import type { BoxSettings, SocketAddress } from "../platform/mod.js";
import { advisedBoxes } from "./advised_boxes.js";

/** A caller that looks up addresses. */
export interface AddressLookup {
  /** Region of the caller. */
  readonly region: string;
  /** Data centre of the caller. */
  readonly dataCentre: string;
  /** Allowed regions of the routes for the requested host; empty if there is no restriction. */
  readonly allowedRegions: ReadonlyArray<string>;
  /** Smallest latency objective of all routes, in milliseconds; infinity if there are no routes. */
  readonly tightestObjectiveMs: number;
}

/** The fleet as the answering box knows it. */
export interface AddressSources {
  readonly settings: () => Pick<BoxSettings, "box" | "dataCentre" | "recoveryDeadlineMs">;
  /** Returns the boxes that accept work, including this one if it does. */
  readonly alive: () => ReadonlyArray<Member>;
  /** Returns the time since the last contact with another box, in milliseconds. */
  readonly sinceLastContactMs: () => number;
  /**
   * Returns the round-trip time to a data centre, in milliseconds; `undefined` if it is unknown.
   */
  readonly roundTripMs: (dataCentre: string) => number | undefined;
  /** Returns the boxes that serve a region. */
  readonly servingBoxes: (region: string) => ReadonlyArray<Member>;
}

/**
 * Returns the addresses that a caller should use. While this box has been disconnected from all
 * others for too long, this is only its own address.
 *
 * @param caller - Location of the caller and the routes that it looks up.
 * @param sources - The fleet as this box knows it.
 * @returns Addresses of serving boxes of the caller's region, in its data centre if the others are
 *   distant; if there are none, of those of the allowed regions, or else of all boxes.
 */
export function callerAddresses(
  caller: AddressLookup,
  sources: AddressSources,
): ReadonlyArray<SocketAddress> {
  const { allowedRegions } = caller;
  const self = selfIfIsolated(sources);
  const local = self === undefined ? boxesNear(caller, sources) : [self];
  const allowed =
    local.length > 0 ? local : allowedRegions.flatMap((each) => sources.servingBoxes(each));
  const boxes = allowed.length > 0 ? allowed : sources.alive();
  return boxes.map(({ address, callerPort }) => ({ address, port: callerPort }));
}

function boxesNear(
  { region, dataCentre, tightestObjectiveMs }: AddressLookup,
  { roundTripMs, servingBoxes, settings }: AddressSources,
): ReadonlyArray<Member> {
  const own = settings().dataCentre;
  // Only round trips of this box are known: they apply to callers of its own data centre, and
  // between that one and the caller's.
  const distanceMs = (other: string): number | undefined => {
    if (dataCentre === own) {
      return roundTripMs(other);
    }
    return other === own ? roundTripMs(dataCentre) : undefined;
  };
  const location = { dataCentre, roundTripMs: distanceMs, tightestObjectiveMs };
  return advisedBoxes(servingBoxes(region), location);
}

/**
 * Returns this box if it has been disconnected for so long that the states of the other boxes may
 * be outdated.
 */
function selfIfIsolated(sources: AddressSources): Member | undefined {
  const { alive, settings, sinceLastContactMs } = sources;
  const { box, recoveryDeadlineMs } = settings();
  return sinceLastContactMs() > recoveryDeadlineMs
    ? alive().find(({ memberId }) => memberId === box)
    : undefined;
}
