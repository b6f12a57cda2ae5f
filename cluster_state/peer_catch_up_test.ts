import { createServer, type Server } from "node:http";
import t, { type Test } from "tap";
import type { Member } from "../model/mod.js";
import { sampleMember } from "../standins/sample_member.js";
import { PeerCatchUp } from "./peer_catch_up.js";
import { encodeSharedState, type SharedState } from "./shared_state.js";

const LOOPBACK = "127.0.0.1";

const SHARED: SharedState = { leafs: [], lapsed: [], leafsRevision: 7 };

/** Starts a peer that serves state after a delay, in milliseconds. */
async function startPeer(t: Test, shared = SHARED, delayMs = 0): Promise<Member> {
  const server: Server = createServer((_request, response) => {
    setTimeout(() => response.end(encodeSharedState(shared)), delayMs);
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const socketAddress = server.address();
  const peerPort =
    typeof socketAddress === "object" && socketAddress !== null ? socketAddress.port : 0;
  return sampleMember({ memberId: "peer", address: LOOPBACK, peerPort });
}

/** Situation of the box that fetches from the peer. */
interface FetchingBox {
  readonly isLocal: boolean;
  readonly isWatcher?: boolean;
  readonly isStoreReachable?: boolean;
}

/** Reports the progress of the peer to a box, and returns what the box does in order. */
async function catchUpWith(
  peer: Member,
  { isLocal, isWatcher = false, isStoreReachable = true }: FetchingBox,
): Promise<ReadonlyArray<string>> {
  const actions: Array<string> = [];
  await new Promise<void>((resolve) => {
    const catchUp = new PeerCatchUp({
      box: "self",
      clusterState: {
        ...{ isWatcher, isStoreReachable },
        progress: { configurationVersion: 1, leafsRevision: 5 },
        mergeSharedState: ({ leafsRevision }) => {
          actions.push(`merged ${leafsRevision}`);
        },
      },
      isLocal: () => isLocal,
      onRemoteUpdate: () => actions.push("notified local boxes"),
      telemetry: { event: () => setImmediate(resolve) },
    });
    catchUp.catchUp(peer, { configurationVersion: 1, leafsRevision: 7 });
  });
  return actions;
}

t.test("an update from another region is forwarded to the local boxes", async (t) => {
  const peer = await startPeer(t);
  t.same(await catchUpWith(peer, { isLocal: false }), ["merged 7", "notified local boxes"]);
});

t.test("an update from a local box is not forwarded", async (t) => {
  const peer = await startPeer(t);
  t.same(await catchUpWith(peer, { isLocal: true }), ["merged 7"]);
});

// Waiting for an unreachable store would delay the update of a draining leaf.
t.test("a watcher of an unreachable store queries a local peer immediately", async (t) => {
  const peer = await startPeer(t);
  const startedAtMs = performance.now();
  const disconnected = { isLocal: true, isWatcher: true, isStoreReachable: false };
  t.same(await catchUpWith(peer, disconnected), ["merged 7"]);
  t.ok(performance.now() - startedAtMs < 400);
  const connected = { isLocal: true, isWatcher: true, isStoreReachable: true };
  t.same(await catchUpWith(peer, connected), ["merged 7"]);
  t.ok(
    performance.now() - startedAtMs >= 600,
    "a watcher that reaches the store waits for it first",
  );
});

t.test("progress reported during a fetch is handled after it", async (t) => {
  const first = await startPeer(t);
  const second = await startPeer(t);
  const fetchedFrom: Array<string> = [];
  let leafsRevision = 5;
  await new Promise<void>((resolve) => {
    const catchUp = new PeerCatchUp({
      box: "self",
      clusterState: {
        ...{ isWatcher: false, isStoreReachable: true },
        get progress() {
          return { configurationVersion: 1, leafsRevision };
        },
        mergeSharedState: (shared) => {
          leafsRevision = shared.leafsRevision;
        },
      },
      isLocal: () => true,
      onRemoteUpdate: () => undefined,
      telemetry: {
        event: (_level, _message, fields) => {
          fetchedFrom.push(String(fields?.member));
          if (fetchedFrom.length === 2) {
            resolve();
          }
        },
      },
    });
    catchUp.catchUp({ ...first, box: "first" }, { configurationVersion: 1, leafsRevision: 6 });
    catchUp.catchUp({ ...second, box: "second" }, { configurationVersion: 1, leafsRevision: 9 });
  });
  t.same(fetchedFrom, ["first", "second"]);
});

// A response that waits, in the network or at a stalled box, would otherwise prolong the use of a leaf
// whose entry is gone.
t.test("the time for which a response was under way is subtracted from time limits", async (t) => {
  const shared = { ...SHARED, lapsed: [{ leafId: "a", leftMs: 1_500 }] };
  const peer = await startPeer(t, shared, 400);
  let leftMs = 0;
  await new Promise<void>((resolve) => {
    const catchUp = new PeerCatchUp({
      box: "self",
      clusterState: {
        ...{ isWatcher: false, isStoreReachable: true },
        progress: { configurationVersion: 1, leafsRevision: 5 },
        mergeSharedState: ({ lapsed }) => {
          leftMs = lapsed[0]?.leftMs ?? 0;
        },
      },
      isLocal: () => true,
      onRemoteUpdate: () => undefined,
      telemetry: { event: () => setImmediate(resolve) },
    });
    catchUp.catchUp(peer, { configurationVersion: 1, leafsRevision: 7 });
  });
  t.ok(leftMs > 0 && leftMs <= 1_100, `${leftMs} ms left`);
});
