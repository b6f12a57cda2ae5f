/**
 * Callers of a soak of planned stops. They write to their connections themselves, use them until the
 * box closes them, and open connections that they use late.
 *
 * @module
 */
import { BOX_PORTS } from "../platform/standin/mod.js";
import { RawConnection } from "../standins/raw_caller.js";
import { delay } from "../standins/waiting.js";
import { requestBody } from "./request_body.js";
import { REQUEST_SHAPES, type RequestShape, requestPieces } from "./request_pieces.js";
import { SeededRandom } from "./seeded_random.js";
import { ARCHIVE, HOST, LEDGER, REGIONAL_ROUTE, VERSION_PREFIX } from "./soak_configuration.js";
import type { SoakBox, SoakFleet } from "./soak_fleet.js";
import type { StopRequest } from "./stop_records.js";

/** Number of concurrent callers. */
const CALLERS = 24;

/** Connections that a caller opens to a box before it turns to another one. */
const CONNECTIONS_PER_BOX = { min: 1, max: 6 } as const;

/** Time until a connection is first used, and between two requests, in milliseconds. */
const IDLE_MS = { beforeFirst: [0, 0, 200, 1_500], between: [0, 0, 5, 20, 60] } as const;

/** Shapes of the requests outside of stops: most are written whole. */
const USUAL_SHAPES: ReadonlyArray<RequestShape> = ["whole", "whole", "whole", ...REQUEST_SHAPES];

/** Time between two pieces of a request, in milliseconds. */
const GAPS_MS = [0, 1, 10, 60, 250] as const;

/** Deadlines of requests, in milliseconds. */
const DEADLINES_MS = [1_500, 2_000, 2_000] as const;

/** Time after its deadline at which a caller leaves, in milliseconds. */
const LEAVE_MS = 1_500;

/** How a response is read: at once, after a pause, or with pauses. */
const READERS = ["prompt", "prompt", "prompt", "prompt", "late", "dripping"] as const;

/** Mean number of requests of which one asks for a long answer. */
const ARCHIVE_INTERVAL = 80;

/** Time before a late reader reads, in milliseconds. */
const LATE_READ_MS = { min: 20, max: 400 } as const;

/** Times for which a dripping reader reads and pauses, in milliseconds. */
const DRIP_MS = { read: 5, pause: 15 } as const;

/**
 * Connections opened to a box just before its stop: fewer among many boxes, as all may stop at once
 * and this process serves their callers and leafs.
 */
const CONNECTIONS_PER_STOP = { min: 6, max: 48, allBoxes: 150 } as const;

/**
 * Times after SIGTERM at which the requests on them are begun and completed, in milliseconds: half
 * of those that are completed late are begun while the box still accepts connections.
 */
const STOP_USE = {
  anyMs: { min: 0, max: 4_000 },
  beginMs: { min: 0, max: 2_400 },
  completeMs: { min: 2_300, max: 4_000 },
} as const;

interface SendOptions {
  readonly random: SeededRandom;
  readonly shape: RequestShape;
  /** Returns the time until the next piece, in milliseconds. */
  readonly gapMs: () => number;
}

/** Connection to one process of a box. */
interface BoxConnection {
  readonly box: SoakBox;
  readonly endedCount: number;
  readonly raw: RawConnection;
}

/** Options of {@linkcode StopCallers}. */
export interface StopCallersOptions {
  readonly seed: number;
  /** Called with each request that has ended. */
  readonly onRequest: (request: StopRequest) => void;
}

/** Runs the callers until they are stopped. */
export class StopCallers {
  readonly #soak: SoakFleet;
  readonly #options: StopCallersOptions;
  readonly #lateUses = new Set<Promise<void>>();
  #isStopped = false;
  #nextId = 1;
  #stopCount = 0;

  /**
   * @param soak - The programs.
   * @param options - Seed of the callers' choices, and what they report to.
   */
  constructor(soak: SoakFleet, options: StopCallersOptions) {
    this.#soak = soak;
    this.#options = options;
  }

  /**
   * Sends requests until {@linkcode StopCallers.stop} is called.
   *
   * @returns A promise that resolves when the last request has ended.
   */
  async run(): Promise<void> {
    await Promise.all(Array.from({ length: CALLERS }, (_, index) => this.#runCaller(index)));
    await Promise.all(this.#lateUses);
  }

  /** Stops the callers after their current requests. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Opens connections to a box that are used once, during its stop.
   *
   * @param box - The box.
   * @returns Function to call when SIGTERM has been sent.
   */
  async openBeforeStop(box: SoakBox): Promise<() => void> {
    this.#stopCount += 1;
    const random = new SeededRandom(this.#options.seed + 1_000 * this.#stopCount);
    const { min, max, allBoxes } = CONNECTIONS_PER_STOP;
    const share = Math.round(allBoxes / this.#soak.boxes.length);
    const length = Math.min(max, Math.max(min, share));
    const connections = Array.from({ length }, () => connect(box));
    await Promise.all(connections.map(({ raw }) => raw.opened()));
    return () => {
      for (const [index, connection] of connections.entries()) {
        const use = index % 2 === 0 ? this.#useOnce : this.#completeLate;
        const used = use.call(this, connection, random).finally(() => this.#lateUses.delete(used));
        this.#lateUses.add(used);
      }
    };
  }

  async #useOnce(connection: BoxConnection, random: SeededRandom): Promise<void> {
    const { anyMs } = STOP_USE;
    const shape = random.pick(REQUEST_SHAPES);
    await delay(random.int(anyMs.min, anyMs.max));
    await this.#send(connection, { random, shape, gapMs: () => random.pick(GAPS_MS) });
    connection.raw.close();
  }

  /** Begins a request early and completes it late in the stop. */
  async #completeLate(connection: BoxConnection, random: SeededRandom): Promise<void> {
    const { beginMs, completeMs } = STOP_USE;
    const shape = random.pick(["splitHead", "splitBody", "chunked"] as const);
    const beginAtMs = random.int(beginMs.min, beginMs.max);
    const completeAtMs = random.int(completeMs.min, completeMs.max);
    const stopAtMs = performance.now();
    await delay(beginAtMs);
    const gapMs = (): number => Math.max(0, stopAtMs + completeAtMs - performance.now());
    await this.#send(connection, { random, shape, gapMs });
    connection.raw.close();
  }

  async #runCaller(index: number): Promise<void> {
    const random = new SeededRandom(this.#options.seed + 1_000_000 * (index + 1));
    while (!this.#isStopped) {
      const box = random.pick(this.#soak.boxes);
      const count = random.int(CONNECTIONS_PER_BOX.min, CONNECTIONS_PER_BOX.max);
      for (let opened = 0; opened < count && !this.#isStopped; opened++) {
        await this.#useConnection(box, random);
      }
    }
  }

  /** Uses a connection until the box closes it. */
  async #useConnection(box: SoakBox, random: SeededRandom): Promise<void> {
    const connection = connect(box);
    await connection.raw.opened();
    await delay(random.pick(IDLE_MS.beforeFirst));
    while (!connection.raw.isClosed && !this.#isStopped) {
      const shape = random.pick(USUAL_SHAPES);
      const answered = await this.#send(connection, {
        ...{ random, shape },
        gapMs: () => random.pick(GAPS_MS),
      });
      if (!answered) {
        break;
      }
      await delay(random.pick(IDLE_MS.between));
    }
    connection.raw.close();
    await delay(random.pick(IDLE_MS.between));
  }

  /** Sends a request and waits for its response; returns whether there was one. */
  async #send({ box, endedCount, raw }: BoxConnection, options: SendOptions): Promise<boolean> {
    const { random, shape } = options;
    const requestId = `stop-request-${this.#nextId++}`;
    const terms = { requestId, ...chooseTerms(requestId, this.#soak.version, random) };
    const reader = terms.path === ARCHIVE.prefix ? "dripping" : random.pick(READERS);
    const earlyBytes = raw.receivedBytes;
    const startedAtMs = performance.now();
    const pieces = requestPieces({ ...terms, host: HOST }, shape, random);
    const isSent = await writePieces(raw, pieces, options.gapMs);
    const sentAtMs = isSent ? performance.now() : undefined;
    const reading = READ[reader](raw, random);
    const left = delay(terms.deadlineMs + LEAVE_MS).then(() => undefined);
    const response = await Promise.race([raw.response(), left]);
    const endedAtMs = performance.now();
    const pausedMs = await reading;
    this.#options.onRequest({
      ...{
        ...terms,
        shape,
        box,
        endedCount,
        startedAtMs,
        sentAtMs,
        endedAtMs,
        earlyBytes,
        response,
      },
      ...{ isReadLate: reader !== "prompt", pausedMs },
    });
    return response?.isComplete === true;
  }
}

function connect(box: SoakBox): BoxConnection {
  const raw = new RawConnection({ address: box.box.address, port: BOX_PORTS.callers });
  return { box, endedCount: box.endedCount, raw };
}

/** Writes pieces; returns whether the connection stayed open until the last one. */
async function writePieces(
  raw: RawConnection,
  pieces: ReadonlyArray<Buffer>,
  gapMs: () => number,
): Promise<boolean> {
  for (const [index, piece] of pieces.entries()) {
    if (index > 0) {
      await delay(gapMs());
    }
    if (raw.isClosed) {
      return false;
    }
    raw.write(piece);
  }
  return true;
}

function chooseTerms(requestId: string, version: number, random: SeededRandom) {
  const versionPath = `${VERSION_PREFIX}${version}/`;
  const ledger = `/${LEDGER}/`;
  const paths = ["/sweep/", "/sweep/", REGIONAL_ROUTE.prefix, versionPath, versionPath];
  const path =
    random.int(1, ARCHIVE_INTERVAL) === 1
      ? ARCHIVE.prefix
      : random.pick([...paths, ledger, ledger]);
  const hasBody = path !== versionPath && path !== ARCHIVE.prefix;
  const body = hasBody ? requestBody(requestId) : undefined;
  const method = path === ledger || body !== undefined ? "POST" : "GET";
  return { path, method, body, deadlineMs: random.pick(DEADLINES_MS) } as const;
}

/** Reads in its manner; returns the time for which it did not read, in milliseconds. */
type Reader = (raw: RawConnection, random: SeededRandom) => Promise<number>;

async function pause(raw: RawConnection, forMs: number): Promise<number> {
  const fromMs = performance.now();
  raw.pause();
  await delay(forMs);
  raw.resume();
  return performance.now() - fromMs;
}

const READ: Readonly<Record<(typeof READERS)[number], Reader>> = {
  prompt: async () => 0,
  late: (raw, random) => pause(raw, random.int(LATE_READ_MS.min, LATE_READ_MS.max)),
  dripping: async (raw, random) => {
    const untilMs = performance.now() + random.int(LATE_READ_MS.min, LATE_READ_MS.max);
    let pausedMs = 0;
    while (performance.now() < untilMs && !raw.isClosed) {
      pausedMs += await pause(raw, DRIP_MS.pause);
      await delay(DRIP_MS.read);
    }
    return pausedMs;
  },
};
