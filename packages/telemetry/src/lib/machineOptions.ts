/**
 * Command-line options for the limits of the machine that an instance runs on.
 *
 * @public
 */
import {number, option} from 'cmd-ts';
import {z} from 'zod';

function createLimitOption(long: string, description: string) {
  return option({
    type: number,
    long,
    env: `SYC_${long.replaceAll('-', '_').toUpperCase()}`,
    description,
    defaultValue: () => 0,
    defaultValueIsSerializable: true,
  });
}

/** Options for the machine's limits. @public */
export const machineOptions = {
  memoryMb: createLimitOption(
    'memory-mb',
    'memory of the machine in megabytes, from which the bytes held for clients are bounded; 0 reads it from the operating system',
  ),
  maxFds: createLimitOption(
    'max-fds',
    'descriptors that the process may open, from which the connections of clients are bounded; 0 reads it from the operating system',
  ),
};

/** Validators of the machine's limits. @public */
export const machineSettings = {
  memoryMb: z.number().min(0),
  maxFds: z.number().int().min(0),
};
