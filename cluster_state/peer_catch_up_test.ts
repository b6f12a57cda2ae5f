import { createServer, type Server } from "node:http";
import t, { type Test } from "tap";
import type { Member } from "../model/mod.js";
import { sampleMember } from "../standins/sample_member.js";
import { PeerCatchUp } from "./peer_catch_up.js";
import { encodeSharedState } from "./shared_state.js";

const LOOPBACK = "127.0.0.1";

/** A box that is ahead: it hands over a list of leafs as of revision 7. */
async function startPeer(t: Test): Promise<Member> {
  const shared = encodeSharedState({ leafs: [], lapsed: [], leafsRevision: 7 });
  const server: Server = createServer((_request, response) => response.end(shared));
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.teardown(() => server.close());
  t.teardown(() => server.closeAllConnections());
  const bound = server.address();
  const peerPort = typeof bound === "object" && bound !== null ? bound.port : 0;
  return sampleMember({ memberId: "peer", address: LOOPBACK, peerPort });
}

/** How the box stands that hears of a peer. */
interface Hearer {
  readonly isNear: boolean;
  readonly isWatcher?: boolean;
  readonly isStoreReachable?: boolean;
}

/** Has a box hear of the peer; tells in which order things happened. */
async function hearFrom(
  peer: Member,
  { isNear, isWatcher = false, isStoreReachable = true }: Hearer,
): Promise<ReadonlyArray<string>> {
  const happened: Array<string> = [];
  await new Promise<void>((resolve) => {
    const catchUp = new PeerCatchUp({
      box: "self",
      clusterState: {
        ...{ isWatcher, isStoreReachable },
        progress: { configurationVersion: 1, leafsRevision: 5 },
        mergeSharedState: ({ leafsRevision }) => {
          happened.push(`took over ${leafsRevision}`);
        },
      },
      isLocal: () => isNear,
      onRemoteUpdate: () => happened.push("told the boxes near"),
      telemetry: { event: () => setImmediate(resolve) },
    });
    catchUp.catchUp(peer, { configurationVersion: 1, leafsRevision: 7 });
  });
  return happened;
}

t.test("news from another region is told on to the boxes near", async (t) => {
  const peer = await startPeer(t);
  t.same(await hearFrom(peer, { isNear: false }), ["took over 7", "told the boxes near"]);
});

t.test("news from a box near is not told on, as the others near hear it as well", async (t) => {
  const peer = await startPeer(t);
  t.same(await hearFrom(peer, { isNear: true }), ["took over 7"]);
});

// A box waited for the store to tell it what a peer near had told it already, also when the store was
// lost to it and could not: 600 ms of the 3 s in which a leaf that drains must get no more work.
t.test("a box that watches a lost store asks a peer near at once", async (t) => {
  const peer = await startPeer(t);
  const startedAtMs = performance.now();
  const lost = { isNear: true, isWatcher: true, isStoreReachable: false };
  t.same(await hearFrom(peer, lost), ["took over 7"]);
  t.ok(performance.now() - startedAtMs < 400);
  const heard = { isNear: true, isWatcher: true, isStoreReachable: true };
  t.same(await hearFrom(peer, heard), ["took over 7"]);
  t.ok(performance.now() - startedAtMs >= 600, "one that hears the store lets it come first");
});

t.test("news told while another fetch is under way is looked at after it", async (t) => {
  const first = await startPeer(t);
  const second = await startPeer(t);
  const from: Array<string> = [];
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
          from.push(String(fields?.member));
          if (from.length === 2) {
            resolve();
          }
        },
      },
    });
    catchUp.catchUp({ ...first, box: "first" }, { configurationVersion: 1, leafsRevision: 6 });
    catchUp.catchUp({ ...second, box: "second" }, { configurationVersion: 1, leafsRevision: 9 });
  });
  t.same(from, ["first", "second"]);
});
