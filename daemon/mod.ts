/**
 * Shell shared by all daemons: runs the effects of a core and sends it events.
 *
 * @module
 */
export * from "./control_shell.js";
export * from "./core_runner.js";
export * from "./daemon_settings.js";
export * from "./pending_replies.js";
export * from "./report_daemon.js";
export * from "./report_ports.js";
