/**
 * Settings from flags and environment variables, validated at startup.
 *
 * @module
 */
export * from "./parse_settings.js";
export * from "./setting_spec.js";
