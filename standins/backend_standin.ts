/**
 * A process that simulates backend servers: it runs many leafs and is controlled over HTTP.
 *
 * @module
 */
import { reply, serve } from "./http.js";
import { type LeafStandin, type LeafStandinOptions, startLeafStandin } from "./leaf_standin.js";

/** A running backend stand-in. */
export interface BackendStandin {
  readonly port: number;
  close(): void;
}

/** Address and port of the admin API. */
export interface BackendStandinOptions {
  readonly address: string;
  readonly port: number;
}

/** A change to all leafs whose ids have a common prefix. */
export interface LeafChange {
  readonly prefix: string;
  readonly options: Partial<LeafStandinOptions>;
}

/**
 * Starts a backend stand-in without leafs.
 *
 * Admin API: `/admin/leafs` starts leafs and returns their ports, `/admin/change` changes the
 * options of leafs, `/admin/close` stops leafs, `/admin/runs` returns the calls that were run,
 * `/admin/forget` clears them, and `/admin/stats` returns the counters of each leaf.
 *
 * @param options - Address and port of the admin API.
 * @returns The stand-in.
 */
export async function startBackendStandin(options: BackendStandinOptions): Promise<BackendStandin> {
  const leafs = new Map<string, LeafStandin>();

  function leafsWithPrefix(prefix: string): ReadonlyArray<LeafStandin> {
    return [...leafs].filter(([leafId]) => leafId.startsWith(prefix)).map(([, leaf]) => leaf);
  }

  async function startLeafs(specs: ReadonlyArray<LeafStandinOptions>): Promise<object> {
    const ports: Record<string, number> = {};
    for (const spec of specs) {
      const leaf = await startLeafStandin(spec);
      leafs.set(spec.leafId, leaf);
      ports[spec.leafId] = leaf.port;
    }
    return ports;
  }

  const routes: Readonly<Record<string, (body: string) => Promise<unknown> | unknown>> = {
    "/admin/leafs": (body) => startLeafs(JSON.parse(body) as ReadonlyArray<LeafStandinOptions>),
    "/admin/change": (body) => {
      const { prefix, options: changes } = JSON.parse(body) as LeafChange;
      for (const leaf of leafsWithPrefix(prefix)) {
        leaf.change(changes);
      }
      return {};
    },
    "/admin/close": (body) => {
      for (const leaf of leafsWithPrefix((JSON.parse(body) as LeafChange).prefix)) {
        leaf.close();
      }
      return {};
    },
    "/admin/runs": () => [...leafs.values()].flatMap((leaf) => leaf.runs),
    "/admin/forget": () => {
      for (const leaf of leafs.values()) {
        leaf.runs.length = 0;
      }
      return {};
    },
    "/admin/stats": () => Object.fromEntries([...leafs].map(([id, leaf]) => [id, leaf.stats])),
  };

  const { server, port } = await serve(async ({ path, body, response }) => {
    const route = routes[path];
    reply(response, route === undefined ? 404 : 200, await route?.(body));
  }, options);
  return {
    port,
    close: () => {
      for (const leaf of leafs.values()) {
        leaf.close();
      }
      server.closeAllConnections();
      server.close();
    },
  };
}
