/**
 * Creates a box's quarantine. Each change is logged, withdraws waiting calls of the query and is
 * sent to other boxes.
 *
 * @module
 */
import type { LeafCalls } from "../calls/mod.js";
import { rendezvousRank } from "../hashing/mod.js";
import type { Member } from "../model/mod.js";
import { type CrashRecord, type CrashStatus, Quarantine } from "../quarantine/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Options of {@link makeQuarantine}. */
export interface MakeQuarantineOptions {
  readonly box: string;
  readonly nowMs: () => number;
  /**
   * Returns the boxes that receive callers' requests. A standby box would never send a suspected
   * query, so it could not clear it.
   */
  readonly servingBoxes: () => ReadonlyArray<Member>;
  readonly calls: () => Pick<LeafCalls, "withdrawBlocked">;
  /** Notifies other boxes immediately. */
  readonly notifyBoxes: () => void;
  /** Stores a quarantined query so that it survives a restart of all boxes. */
  readonly persist: (record: CrashRecord, before: CrashRecord | undefined) => void;
  readonly telemetry: Pick<BoxTelemetry, "event" | "quarantineChanges">;
}

const LOG_MESSAGES: Readonly<Record<CrashStatus, string>> = {
  suspected: "quarantine: query suspected, leafs crashed while they ran it",
  quarantined: "quarantine: query blocked",
  cleared: "quarantine: query cleared",
};

/**
 * Creates the quarantine.
 *
 * @param options - Dependencies of the quarantine.
 * @returns The quarantine.
 */
export function makeQuarantine(options: MakeQuarantineOptions): Quarantine {
  const { box, calls, persist, nowMs, servingBoxes, telemetry } = options;
  const notifyBoxes = batched(options.notifyBoxes);
  return new Quarantine({
    nowMs,
    isTrialBox: (fingerprint) => {
      const ids = servingBoxes().map(({ memberId }) => memberId);
      return rendezvousRank(fingerprint, ids)[0] === box;
    },
    onChange: ({ record, before, source, publishNow }) => {
      const { fingerprint, lostLeafs, lostTrials, standing } = record;
      if (standing !== before?.standing) {
        const fields = { fingerprint, lostLeafs, lostTrials, source, before: before?.standing };
        telemetry.event("warn", LOG_MESSAGES[standing], {
          ...fields,
          suspectedAgoMs: Math.round(nowMs() - record.suspectedAtMs),
        });
        telemetry.quarantineChanges.add(standing);
        calls().withdrawBlocked(fingerprint);
      }
      if (publishNow && source === "own") {
        notifyBoxes();
        persist(record, before);
      }
    },
  });
}

/**
 * Time for which changes are batched before other boxes are notified, in milliseconds. When a rack
 * fails, many queries change at almost the same time.
 */
const BATCH_DELAY_MS = 10;

function batched(action: () => void): () => void {
  let isScheduled = false;
  return () => {
    if (isScheduled) {
      return;
    }
    isScheduled = true;
    setTimeout(() => {
      isScheduled = false;
      action();
    }, BATCH_DELAY_MS);
  };
}
