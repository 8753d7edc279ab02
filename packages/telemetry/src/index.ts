/** Logs, metrics and settings. */
export {
  createLogger,
  formatLogLine,
  setLogPattern,
} from './lib/createLogger.js';
export type {LogFields, Logger} from './lib/createLogger.js';
export {createEntryMetrics} from './lib/createEntryMetrics.js';
export {createClientMetrics} from './lib/createClientMetrics.js';
export type {EntryMetrics} from './lib/createEntryMetrics.js';
export {
  instanceOptions,
  readInstanceTls,
  tlsOptions,
} from './lib/instanceOptions.js';
export type {InstanceTls, TlsSettings} from './lib/instanceOptions.js';
export {machineOptions, machineSettings} from './lib/machineOptions.js';
export {runCommand} from './lib/runCommand.js';
export {readTls} from './lib/readTls.js';
export type {TlsFiles, TlsMaterial} from './lib/readTls.js';
export {
  readOptionalSecret,
  readSecret,
  readSettings,
} from './lib/readSettings.js';
export {
  flushDecisionLog,
  startDecisionLog,
  writeDecision,
} from './lib/writeDecision.js';
