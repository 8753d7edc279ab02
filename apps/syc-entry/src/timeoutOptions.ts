import {number, option} from 'cmd-ts';
import {z} from 'zod';
import {
  BackendTimeouts,
  DEFAULT_BACKEND_TIMEOUTS,
  DEFAULT_ENTRY_TIMEOUTS,
  EntryTimeouts,
} from '@sycamorehead/entry';

const MS_PER_SECOND = 1_000;
const MAX_TIMEOUT_S = 3_600;

function createOption(long: string, defaultMs: number, description: string) {
  return option({
    type: number,
    long,
    env: `SYC_${long.replaceAll('-', '_').toUpperCase()}`,
    description: `seconds ${description}`,
    defaultValue: () => defaultMs / MS_PER_SECOND,
    defaultValueIsSerializable: true,
  });
}

/** The flags that set an entry's timeouts, each in seconds. @internal */
export const timeoutOptions = {
  connectTimeout: createOption(
    'connect-timeout',
    DEFAULT_BACKEND_TIMEOUTS.connectMs,
    'allowed for connecting to a backend server',
  ),
  firstByteTimeout: createOption(
    'first-byte-timeout',
    DEFAULT_BACKEND_TIMEOUTS.firstByteMs,
    "allowed until a backend server's answer begins",
  ),
  frameTimeout: createOption(
    'frame-timeout',
    DEFAULT_BACKEND_TIMEOUTS.betweenFramesMs,
    "allowed between two frames of a backend server's answer",
  ),
  serviceTimeout: createOption(
    'service-timeout',
    DEFAULT_BACKEND_TIMEOUTS.serviceMs,
    "allowed for one call of a plain service's replica, from connecting to the end of the response",
  ),
  answerTimeout: createOption(
    'answer-timeout',
    DEFAULT_ENTRY_TIMEOUTS.answerMs,
    'allowed from the arrival of a model request to the end of its answer',
  ),
  callerStallTimeout: createOption(
    'caller-stall-timeout',
    DEFAULT_ENTRY_TIMEOUTS.callerStallMs,
    'for which a streaming caller may read nothing of its answer',
  ),
  commitWait: createOption(
    'commit-wait',
    DEFAULT_ENTRY_TIMEOUTS.commitWaitMs,
    'for which a complete answer waits until its bill is recorded',
  ),
};

const seconds = z
  .number()
  .gt(0, 'expected a number of seconds above 0')
  .max(MAX_TIMEOUT_S, `expected at most ${MAX_TIMEOUT_S} seconds`);

/** Validators of the timeout flags. @internal */
export const timeoutSettings = {
  connectTimeout: seconds,
  firstByteTimeout: seconds,
  frameTimeout: seconds,
  serviceTimeout: seconds,
  answerTimeout: seconds,
  callerStallTimeout: seconds,
  commitWait: seconds,
};

/** Timeouts as given by the flags, in seconds. @internal */
export type TimeoutSettings = Readonly<
  Record<keyof typeof timeoutSettings, number>
>;

/** Converts the timeouts to the options of an Entry, in milliseconds. @internal */
export function buildTimeouts(settings: TimeoutSettings): {
  backendTimeouts: BackendTimeouts;
  timeouts: EntryTimeouts;
} {
  return {
    backendTimeouts: {
      connectMs: settings.connectTimeout * MS_PER_SECOND,
      firstByteMs: settings.firstByteTimeout * MS_PER_SECOND,
      betweenFramesMs: settings.frameTimeout * MS_PER_SECOND,
      serviceMs: settings.serviceTimeout * MS_PER_SECOND,
    },
    timeouts: {
      answerMs: settings.answerTimeout * MS_PER_SECOND,
      callerStallMs: settings.callerStallTimeout * MS_PER_SECOND,
      commitWaitMs: settings.commitWait * MS_PER_SECOND,
    },
  };
}
