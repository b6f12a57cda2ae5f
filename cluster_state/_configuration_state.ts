/**
 * The active configuration of a box: the newest that the store or a peer has sent.
 *
 * @module
 */
import { CONFIGURATION_NAME, decodeConfiguration, type StoreObject } from "../platform/mod.js";
import { buildRouteTable, type Configuration, type RouteTable } from "../routing/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** The active configuration and its origin. */
export interface ActiveConfiguration {
  readonly version: number;
  readonly source: "store" | "peer";
  /** Time of its activation, on this box's clock. */
  readonly atMs: number;
}

/** Options of the state. */
export interface ConfigurationStateOptions {
  readonly telemetry: Pick<BoxTelemetry, "event">;
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Called when the routes of a configuration have become active, before this is logged. */
  readonly onRoutes: () => void;
  /** Called after each change of the active configuration. */
  readonly onChange: (configuration: Configuration) => void;
}

/** The active configuration and its routes. */
export class ConfigurationState {
  readonly #options: ConfigurationStateOptions;
  #routes: RouteTable | undefined;
  #active: ActiveConfiguration | undefined;

  /**
   * @param options - Options of the state.
   */
  constructor(options: ConfigurationStateOptions) {
    this.#options = options;
  }

  /** Active routes; `undefined` if there is no configuration yet. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** The active configuration and its origin; `undefined` if there is none yet. */
  get active(): ActiveConfiguration | undefined {
    return this.#active;
  }

  /**
   * Activates the configuration among objects of the store if it is newer than the active one.
   *
   * @param objects - Objects of the configuration's kind.
   */
  applyObjects(objects: ReadonlyArray<StoreObject>): void {
    const object = objects.find(({ name }) => name === CONFIGURATION_NAME);
    if (object === undefined) {
      return;
    }
    const decoded = decodeConfiguration(object.spec);
    if (decoded.isErr()) {
      const fields = { revision: object.revision, reason: decoded.error };
      this.#options.telemetry.event("error", "configuration: cannot be read", fields);
      return;
    }
    this.activate(decoded.value, "store");
  }

  /**
   * Activates a configuration if it is newer than the active one.
   *
   * @param configuration - The configuration.
   * @param source - Where it was received from.
   */
  activate(configuration: Configuration, source: ActiveConfiguration["source"]): void {
    const { nowMs, onChange, onRoutes, telemetry } = this.#options;
    const version = this.#routes?.configuration.version ?? Number.NEGATIVE_INFINITY;
    if (configuration.version <= version) {
      return;
    }
    this.#routes = buildRouteTable(configuration);
    this.#active = { version: configuration.version, source, atMs: nowMs() };
    onRoutes();
    const fields = { version: configuration.version, before: version, source };
    telemetry.event("info", "configuration: in force", fields);
    onChange(configuration);
  }
}
