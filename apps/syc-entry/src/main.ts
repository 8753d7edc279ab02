import {command, number, option, optional, run, string} from 'cmd-ts';
import {z} from 'zod';
import {ControlClient} from '@sycamorehead/control';
import {Entry, RatingSettings} from '@sycamorehead/entry';
import {
  instanceOptions,
  machineOptions,
  machineSettings,
  readInstanceTls,
  readOptionalSecret,
  readSecret,
  readSettings,
  runCommand,
  setLogPattern,
  tlsOptions,
} from '@sycamorehead/telemetry';
import {ClientLimits, PeerAddress, parsePeerAddress} from '@sycamorehead/wire';
import {
  buildTimeouts,
  timeoutOptions,
  timeoutSettings,
} from './timeoutOptions.js';

const MAX_PORT = 65_535;

const settingsSchema = z.object({
  name: z.string().min(1, 'expected a name'),
  dataCentre: z.string().min(1, 'expected a data centre'),
  host: z.union([z.ipv4(), z.ipv6()], 'expected an IP address'),
  port: z.number().int().min(0).max(MAX_PORT),
  peerPort: z.number().int().min(0).max(MAX_PORT),
  peers: z.string(),
  control: z.string().min(1, 'expected NAME=IP:PORT, separated by commas'),
  balancerLag: z.number().min(0).max(600),
  ratingsUrl: z.url({protocol: /^https?$/}).optional(),
  ratingTimeout: z.number().gt(0).max(600),
  ratingShare: z.number().min(0).max(1),
  tlsCert: z.string().optional(),
  tlsKey: z.string().optional(),
  peerTlsCert: z.string().optional(),
  peerTlsKey: z.string().optional(),
  peerTlsCa: z.string().optional(),
  ...machineSettings,
  ...timeoutSettings,
});

function parsePeers(list: string): PeerAddress[] {
  return list
    .split(',')
    .filter(text => text !== '')
    .map(parsePeerAddress);
}

function parseInstances(list: string): Record<string, PeerAddress> {
  const pairs = list.split(',').map(text => {
    const [name = '', address = ''] = text.split('=');
    return [name, parsePeerAddress(address)] as const;
  });
  return Object.fromEntries(pairs);
}

function readRatingSettings(
  settings: z.infer<typeof settingsSchema>,
): RatingSettings | undefined {
  const {ratingsUrl, ratingTimeout, ratingShare} = settings;
  if (!ratingsUrl) return undefined;
  return {
    url: ratingsUrl,
    timeoutMs: ratingTimeout * 1_000,
    sampledShare: ratingShare,
  };
}

async function startEntry(flags: unknown): Promise<void> {
  const settings = readSettings(settingsSchema, flags);
  const peerKey = readSecret('SYC_PEER_KEY');
  const tls = readInstanceTls(settings);
  const {name} = settings;
  const control = new ControlClient({
    name,
    instances: parseInstances(settings.control),
    peerKey,
    peerTls: tls.peers,
  });
  const entry = new Entry({
    ...settings,
    tls: tls.clients,
    clientLimits: new ClientLimits(settings),
    peerTls: tls.peers,
    peers: parsePeers(settings.peers),
    peerKey,
    serverKey: readSecret('SYC_SERVER_KEY'),
    control,
    evidence: control,
    ratings: readRatingSettings(settings),
    debugKey: readOptionalSecret('SYC_DEBUG_KEY'),
    ...buildTimeouts(settings),
    balancerLagMs: settings.balancerLag * 1_000,
  });
  const ports = await entry.start();
  console.log(
    `started entry=${name} port=${ports.port} peer_port=${ports.peerPort}`,
  );
  const stop = () =>
    void entry.stop().then(() => {
      control.stop();
      process.exit(0);
    });
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

const app = command({
  name: 'syc-entry',
  description:
    'Runs an entry instance. Secrets: SYC_PEER_KEY, SYC_SERVER_KEY and optionally SYC_DEBUG_KEY (or …_FILE)',
  args: {
    ...instanceOptions,
    dataCentre: option({
      type: string,
      long: 'data-centre',
      env: 'SYC_DATA_CENTRE',
      description: "this instance's data centre",
    }),
    port: option({
      type: number,
      long: 'port',
      env: 'SYC_PORT',
      description: 'port for callers; 0 chooses a free port',
      defaultValue: () => 8080,
      defaultValueIsSerializable: true,
    }),
    peerPort: option({
      type: number,
      long: 'peer-port',
      env: 'SYC_PEER_PORT',
      description: 'port for other entries; 0 chooses a free port',
      defaultValue: () => 8081,
      defaultValueIsSerializable: true,
    }),
    peers: option({
      type: string,
      long: 'peers',
      env: 'SYC_PEERS',
      description: 'IP:PORT of the other entries, separated by commas',
      defaultValue: () => '',
      defaultValueIsSerializable: true,
    }),
    control: option({
      type: string,
      long: 'control',
      env: 'SYC_CONTROL_PEERS',
      description: 'NAME=IP:PORT of the control instances, separated by commas',
    }),
    balancerLag: option({
      type: number,
      long: 'balancer-lag',
      env: 'SYC_BALANCER_LAG',
      description:
        'seconds to keep serving after SIGTERM, until the load balancer notices',
      defaultValue: () => 5,
      defaultValueIsSerializable: true,
    }),
    ratingsUrl: option({
      type: optional(string),
      long: 'ratings-url',
      env: 'SYC_RATINGS_URL',
      description:
        'base URL of the rating service; if absent, no ratings are requested',
    }),
    ratingTimeout: option({
      type: number,
      long: 'rating-timeout',
      env: 'SYC_RATING_TIMEOUT',
      description: 'seconds allowed for one rating',
      defaultValue: () => 10,
      defaultValueIsSerializable: true,
    }),
    ratingShare: option({
      type: number,
      long: 'rating-share',
      env: 'SYC_RATING_SHARE',
      description:
        'share of the answers that are rated for versions with enough ratings, 0 to 1',
      defaultValue: () => 0.2,
      defaultValueIsSerializable: true,
    }),
    ...timeoutOptions,
    ...machineOptions,
    ...tlsOptions,
  },
  handler: async ({log, ...settings}) => {
    if (log) setLogPattern(log);
    const isStarted = await runCommand(() => startEntry(settings));
    if (!isStarted) process.exit();
  },
});

await run(app, process.argv.slice(2));
