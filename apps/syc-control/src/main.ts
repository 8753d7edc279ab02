import {command, number, option, optional, run, string} from 'cmd-ts';
import {z} from 'zod';
import {SingleVoterLog} from '@sycamorehead/consensus';
import {
  ControlNode,
  OperatorServer,
  createControlMethods,
} from '@sycamorehead/control';
import {getErrorAnswer, toSycamoreheadError} from '@sycamorehead/schema';
import {readSecret, readSettings, setLogPattern} from '@sycamorehead/telemetry';
import {WireServer} from '@sycamorehead/wire';
import {buildReconcilerOptions, placementOptions} from './placementOptions.js';

const MAX_PORT = 65_535;

const settingsSchema = z.object({
  name: z.string().min(1, 'expected a name'),
  host: z.union([z.ipv4(), z.ipv6()], 'expected an IP address'),
  port: z.number().int().min(0).max(MAX_PORT),
  peerPort: z.number().int().min(0).max(MAX_PORT),
  weightLoadsPerMinute: z.number().gt(0),
  loadTimeout: z.number().gt(0),
});

async function startControl(given: unknown): Promise<void> {
  const settings = readSettings(settingsSchema, given);
  const {name, host, port, peerPort} = settings;
  const node = new ControlNode({
    name,
    createLog: machine => new SingleVoterLog(name, machine),
    reconciler: buildReconcilerOptions(settings),
  });
  const wireServer = new WireServer({
    host,
    port: peerPort,
    peerKey: readSecret('SYC_PEER_KEY'),
    methods: createControlMethods(node),
  });
  const operatorServer = new OperatorServer({
    node,
    host,
    port,
    operatorToken: readSecret('SYC_OPERATOR_TOKEN'),
  });
  const peer = await wireServer.start();
  const own = await operatorServer.start();
  console.log(`started control=${name} port=${own} peer_port=${peer}`);
  const stop = async () => {
    await operatorServer.stop();
    await node.stop();
    await wireServer.stop();
    process.exit(0);
  };
  process.once('SIGTERM', () => void stop());
  process.once('SIGINT', () => void stop());
}

const app = command({
  name: 'syc-control',
  description:
    'A control instance. Secrets: SYC_PEER_KEY, SYC_OPERATOR_TOKEN (or …_FILE)',
  args: {
    name: option({
      type: string,
      long: 'name',
      env: 'SYC_NAME',
      description: "this instance's name",
    }),
    host: option({
      type: string,
      long: 'host',
      env: 'SYC_HOST',
      description: 'IP address to listen on',
      defaultValue: () => '127.0.0.1',
    }),
    port: option({
      type: number,
      long: 'port',
      env: 'SYC_PORT',
      description: "operators' port; 0 takes any",
      defaultValue: () => 9080,
    }),
    peerPort: option({
      type: number,
      long: 'peer-port',
      env: 'SYC_PEER_PORT',
      description: "entries' and other control instances' port; 0 takes any",
      defaultValue: () => 9081,
    }),
    ...placementOptions,
    log: option({
      type: optional(string),
      long: 'log',
      env: 'SYC_LOG',
      description: "pattern of the log modules, as 'sycamorehead:*'",
    }),
  },
  handler: async ({log, ...settings}) => {
    if (log) setLogPattern(log);
    try {
      await startControl(settings);
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      console.error(`${error.kind}: ${error.message}`);
      process.exit(getErrorAnswer(error.kind).exitCode);
    }
  },
});

await run(app, process.argv.slice(2));
