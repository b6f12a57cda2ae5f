/**
 * Makes a box's quarantine: writes a line for each change, takes back what waits, and tells other boxes.
 *
 * @module
 */
import type { LeafCalls } from "../calls/mod.js";
import { rendezvousRank } from "../hashing/mod.js";
import type { Member } from "../model/mod.js";
import { type CrashRecord, type CrashStatus, Quarantine } from "../quarantine/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** What the quarantine is tied to. */
export interface MakeQuarantineOptions {
  readonly box: string;
  readonly nowMs: () => number;
  /** Boxes that callers' requests come in at: one that stands by would never try a query, nor clear it. */
  readonly servingBoxes: () => ReadonlyArray<Member>;
  readonly calls: () => Pick<LeafCalls, "withdrawBlocked">;
  /** Tells other boxes at once. */
  readonly notifyBoxes: () => void;
  /** Keeps a query that is quarantined beyond the life of all boxes. */
  readonly persist: (record: CrashRecord, before: CrashRecord | undefined) => void;
  readonly telemetry: Pick<BoxTelemetry, "event" | "quarantineChanges">;
}

const SENTENCES: Readonly<Record<CrashStatus, string>> = {
  suspected: "quarantine: query suspected, leafs were lost under it",
  quarantined: "quarantine: query is not sent any more",
  cleared: "quarantine: query cleared",
};

/**
 * Makes the quarantine.
 *
 * @param options - What it is tied to.
 * @returns The quarantine.
 */
export function makeQuarantine(options: MakeQuarantineOptions): Quarantine {
  const { box, calls, persist: keep, nowMs, servingBoxes: serving, telemetry } = options;
  const tell = gathered(options.notifyBoxes);
  return new Quarantine({
    nowMs,
    isTrialBox: (fingerprint) => {
      const ids = serving().map(({ memberId }) => memberId);
      return rendezvousRank(fingerprint, ids)[0] === box;
    },
    onChange: ({ record, before, source, publishNow: isNews }) => {
      const { fingerprint, lostLeafs, lostTrials, standing } = record;
      if (standing !== before?.standing) {
        const fields = { fingerprint, lostLeafs, lostTrials, source, before: before?.standing };
        telemetry.event("warn", SENTENCES[standing], {
          ...fields,
          suspectedAgoMs: Math.round(nowMs() - record.suspectedAtMs),
        });
        telemetry.quarantineChanges.add(standing);
        calls().withdrawBlocked(fingerprint);
      }
      if (isNews && source === "own") {
        tell();
        keep(record, before);
      }
    },
  });
}

/**
 * Time in which news is gathered before it is told, in milliseconds: with a rack of leafs dozens of queries may
 * fail within a few, and each notice goes to all boxes of the region.
 */
const GATHER_MS = 10;

function gathered(act: () => void): () => void {
  let isDue = false;
  return () => {
    if (isDue) {
      return;
    }
    isDue = true;
    setTimeout(() => {
      isDue = false;
      act();
    }, GATHER_MS);
  };
}
