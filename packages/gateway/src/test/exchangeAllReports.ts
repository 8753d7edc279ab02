import type {LoadReporter} from '../lib/LoadReporter.js';

/** Lets several entries exchange reports with their control instances once. */
export function exchangeAllReports(reporters: readonly LoadReporter[]): void {
  for (const reporter of reporters) {
    reporter.exchangeReports().catch(() => {
      // The message was lost; the next exchange repeats what it said.
    });
  }
}
