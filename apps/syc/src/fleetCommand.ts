import {
  boolean,
  command,
  flag,
  oneOf,
  option,
  optional,
  positional,
  string,
} from 'cmd-ts';
import {FLEET_METHODS, FleetDescription} from '@sycamorehead/fleet';
import {runCommand} from '@sycamorehead/telemetry';
import {FleetViewName, formatFleetView} from './formatFleetView.js';
import {requestFleet} from './requestFleet.js';

const UNCONFIRMED_WARNING =
  'not confirmed by a leader of the control instances: this may be out of date';

const VIEWS = [
  'routes',
  'servers',
  'rollouts',
  'members',
  'quarantine',
  'evacuations',
  'limits',
] as const;

/** Builds `syc fleet`, which prints the state of a fleet with declared routes. @internal */
export function buildFleetCommand() {
  return command({
    name: 'fleet',
    description:
      'prints the declared routes, backend servers, roll-outs, members, quarantined prompt segments, evacuated data centres or limits of backend servers that a control instance knows',
    args: {
      view: positional({
        type: oneOf(VIEWS),
        displayName: VIEWS.join('|'),
      }),
      peer: option({
        type: string,
        long: 'peer',
        env: 'SYC_PEER',
        description: "IP:PORT of a control instance's peer port",
      }),
      json: flag({type: boolean, long: 'json', description: 'print JSON'}),
      filter: option({
        type: optional(string),
        long: 'filter',
        description: 'print only the lines that contain this text',
      }),
    },
    handler: args =>
      runCommand(async () => {
        const description = await requestFleet<FleetDescription>(
          args.peer,
          FLEET_METHODS.describe,
          {},
        );
        if (!description.isConfirmed) console.error(UNCONFIRMED_WARNING);
        showView(args.view, description, args);
      }),
  });
}

function showView(
  view: FleetViewName,
  description: FleetDescription,
  {json, filter = ''}: {json: boolean; filter: string | undefined},
): void {
  const lines = formatFleetView(view, description, json);
  for (const line of lines) if (line.includes(filter)) console.log(line);
}
