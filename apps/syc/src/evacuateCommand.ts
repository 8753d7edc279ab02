import {boolean, command, flag, option, positional, string} from 'cmd-ts';
import {FLEET_METHODS} from '@sycamorehead/fleet';
import {runCommand} from '@sycamorehead/telemetry';
import {requestFleet} from './requestFleet.js';

/** Builds `syc evacuate`, which evacuates a data centre or ends that. @internal */
export function buildEvacuateCommand() {
  return command({
    name: 'evacuate',
    description:
      'stops requests to the backend servers of a data centre, or ends that; repeating it is safe',
    args: {
      dataCentre: positional({type: string, displayName: 'DATA_CENTRE'}),
      isEnded: flag({
        type: boolean,
        long: 'end',
        description: 'send requests there again',
      }),
      peer: option({
        type: string,
        long: 'peer',
        env: 'SYC_PEER',
        description: "IP:PORT of a control instance's peer port",
      }),
    },
    handler: ({dataCentre, isEnded, peer}) =>
      runCommand(async () => {
        await requestFleet(peer, FLEET_METHODS.setEvacuation, {
          dataCentre,
          isEvacuated: !isEnded,
        });
      }),
  });
}
