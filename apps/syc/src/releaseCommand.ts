import {command, option, positional, string} from 'cmd-ts';
import {FLEET_METHODS} from '@sycamorehead/fleet';
import {runCommand} from '@sycamorehead/telemetry';
import {requestFleet} from './requestFleet.js';

/** Builds `syc release`, which ends a quarantine of prompt segments. @internal */
export function buildReleaseCommand() {
  return command({
    name: 'release',
    description:
      'ends a quarantine of prompt segments, as `syc fleet quarantine` lists it',
    args: {
      segments: positional({type: string, displayName: 'SEGMENT[,SEGMENT...]'}),
      peer: option({
        type: string,
        long: 'peer',
        env: 'SYC_PEER',
        description: "IP:PORT of a control instance's peer port",
      }),
    },
    handler: ({segments, peer}) =>
      runCommand(async () => {
        await requestFleet(peer, FLEET_METHODS.releaseSegments, {
          segments: segments.split(','),
        });
      }),
  });
}
