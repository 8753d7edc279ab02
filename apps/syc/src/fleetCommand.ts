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
import {readSecret, runCommand} from '@sycamorehead/telemetry';
import {connectPeer, parsePeerAddress} from '@sycamorehead/wire';
import {FleetViewName, formatFleetView} from './formatFleetView.js';

const VIEWS = ['routes', 'servers', 'rollouts', 'members'] as const;
/** Peer name under which this tool connects; control instances log it. */
const TOOL_NAME = 'syc';
/** Timeout for reading the fleet's description, in milliseconds; short because a person waits. */
const DESCRIBE_TIMEOUT_MS = 3_000;

/** Builds `syc fleet`, which prints the state of a fleet with declared routes. @internal */
export function buildFleetCommand() {
  return command({
    name: 'fleet',
    description:
      'prints the declared routes, backend servers, roll-outs or members that a control instance knows',
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
        const description = await readDescription(args.peer);
        showView(args.view, description, args);
      }),
  });
}

async function readDescription(address: string): Promise<FleetDescription> {
  const link = await connectPeer({
    address: parsePeerAddress(address),
    name: TOOL_NAME,
    peerKey: readSecret('SYC_PEER_KEY'),
    methods: {},
  });
  try {
    return await link.request<FleetDescription>(
      FLEET_METHODS.describe,
      {},
      DESCRIBE_TIMEOUT_MS,
    );
  } finally {
    link.close('done');
  }
}

function showView(
  view: FleetViewName,
  description: FleetDescription,
  {json, filter = ''}: {json: boolean; filter: string | undefined},
): void {
  const lines = formatFleetView(view, description, json);
  for (const line of lines) if (line.includes(filter)) console.log(line);
}
