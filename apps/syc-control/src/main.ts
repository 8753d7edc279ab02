import {command, number, option, run, string} from 'cmd-ts';
import {z} from 'zod';
import {ControlInstance} from '@sycamorehead/control';
import {SycamoreheadError, getErrorResponse} from '@sycamorehead/schema';
import {
  instanceOptions,
  machineOptions,
  machineSettings,
  readInstanceTls,
  readSecret,
  readSettings,
  runCommand,
  setLogPattern,
  tlsOptions,
} from '@sycamorehead/telemetry';
import {ClientLimits, parsePeerAddress} from '@sycamorehead/wire';
import {buildReconcilerOptions, placementOptions} from './placementOptions.js';

const MAX_PORT = 65_535;
/** Time for which the creation of a group waits for the other instances, in milliseconds. */
const CREATE_GROUP_TIMEOUT_MS = 600_000;

const settingsSchema = z.object({
  name: z
    .string()
    .regex(/^[A-Za-z0-9_.-]{1,64}$/, 'expected 1 to 64 letters, digits, _ . -'),
  host: z.union([z.ipv4(), z.ipv6()], 'expected an IP address'),
  port: z.number().int().min(0).max(MAX_PORT),
  peerPort: z.number().int().min(0).max(MAX_PORT),
  weightLoadsPerMinute: z.number().gt(0),
  loadTimeout: z.number().gt(0),
  dataFolder: z.string(),
  firstMembers: z.string(),
  tlsCert: z.string().optional(),
  tlsKey: z.string().optional(),
  peerTlsCert: z.string().optional(),
  peerTlsKey: z.string().optional(),
  peerTlsCa: z.string().optional(),
  ...machineSettings,
});

type Settings = z.infer<typeof settingsSchema>;

function parseMembers(list: string): Record<string, string> {
  const members: Record<string, string> = {};
  for (const text of list.split(',').filter(part => part !== '')) {
    const [name = '', address = ''] = text.split('=');
    parsePeerAddress(address);
    members[name] = address;
  }
  return members;
}

/** Ends the process after a disk failure, since further acknowledgements might not be durable. */
function endProcess(error: SycamoreheadError): void {
  console.error(`${error.kind}: ${error.message}`);
  process.exit(getErrorResponse(error.kind).exitCode);
}

function createInstance(settings: Settings): ControlInstance {
  const tls = readInstanceTls(settings);
  return new ControlInstance({
    ...settings,
    dataFolder: settings.dataFolder || undefined,
    reconciler: buildReconcilerOptions(settings),
    peerKey: readSecret('SYC_PEER_KEY'),
    operatorToken: readSecret('SYC_OPERATOR_TOKEN'),
    operatorTls: tls.clients,
    clientLimits: new ClientLimits(settings),
    peerTls: tls.peers,
    onFailure: endProcess,
  });
}

async function startControl(flags: unknown): Promise<void> {
  const settings = readSettings(settingsSchema, flags);
  const {name} = settings;
  const firstMembers = parseMembers(settings.firstMembers);
  const isListed = Object.hasOwn(firstMembers, name);
  if (settings.firstMembers !== '' && !isListed) {
    throw new SycamoreheadError(
      'settings_invalid',
      `--first-members: expected a list that contains this instance, ${name}`,
      {field: 'firstMembers'},
    );
  }
  const instance = createInstance(settings);
  const {port, peerPort} = await instance.start();
  console.log(`started control=${name} port=${port} peer_port=${peerPort}`);
  const stop = () => void instance.stop().then(() => process.exit(0));
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  if (isListed) {
    await instance.createGroup(firstMembers, CREATE_GROUP_TIMEOUT_MS);
  }
}

const app = command({
  name: 'syc-control',
  description:
    'Runs a control instance. Secrets: SYC_PEER_KEY, SYC_OPERATOR_TOKEN (or …_FILE)',
  args: {
    ...instanceOptions,
    port: option({
      type: number,
      long: 'port',
      env: 'SYC_PORT',
      description: 'port for operators; 0 chooses a free port',
      defaultValue: () => 9080,
      defaultValueIsSerializable: true,
    }),
    peerPort: option({
      type: number,
      long: 'peer-port',
      env: 'SYC_PEER_PORT',
      description:
        'port for entries and other control instances; 0 chooses a free port',
      defaultValue: () => 9081,
      defaultValueIsSerializable: true,
    }),
    ...placementOptions,
    dataFolder: option({
      type: string,
      long: 'data-folder',
      env: 'SYC_DATA_FOLDER',
      description:
        "folder for this instance's state; if empty, the state is kept only in memory",
      defaultValue: () => '',
      defaultValueIsSerializable: true,
    }),
    firstMembers: option({
      type: string,
      long: 'first-members',
      env: 'SYC_FIRST_MEMBERS',
      description:
        'NAME=IP:PORT of every voter, separated by commas; only for the first start of a new group, on one of its instances',
      defaultValue: () => '',
      defaultValueIsSerializable: true,
    }),
    ...machineOptions,
    ...tlsOptions,
  },
  handler: async ({log, ...settings}) => {
    if (log) setLogPattern(log);
    const isStarted = await runCommand(() => startControl(settings));
    if (!isStarted) process.exit();
  },
});

await run(app, process.argv.slice(2));
