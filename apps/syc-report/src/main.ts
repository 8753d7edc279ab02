import {writeFileSync} from 'node:fs';
import {
  command,
  number,
  oneOf,
  option,
  optional,
  run,
  string,
  subcommands,
} from 'cmd-ts';
import {z} from 'zod';
import {InForceReport, OperatorClient} from '@sycamorehead/control';
import {
  SampleStore,
  ServiceReport,
  buildReport,
  collectSamples,
  readExperiments,
  renderHtml,
  renderText,
} from '@sycamorehead/report';
import {readSecret, readSettings, runCommand} from '@sycamorehead/telemetry';

/** Number of collections between two compactions of the sample file. */
const COMPACTION_INTERVAL = 1_000;

const storeOption = option({
  type: string,
  long: 'store',
  env: 'SYC_REPORT_STORE',
  description: 'file that holds the samples',
  defaultValue: () => 'samples.jsonl',
  defaultValueIsSerializable: true,
});

/** Renderers of a report by the name of their format. */
const RENDERERS: Readonly<Record<string, (report: ServiceReport) => string>> = {
  text: renderText,
  json: report => JSON.stringify(report) + '\n',
  html: renderHtml,
};

const collectSchema = z.object({
  entries: z.string().min(1, 'expected URLs separated by commas'),
  interval: z.number().min(1).max(300),
  count: z.number().int().min(0),
  store: z.string().min(1),
});

const showSchema = z.object({
  store: z.string().min(1),
  availability: z.number().gt(0).lt(1),
  firstToken: z.number().gt(0),
  firstTokenShare: z.number().gt(0).lt(1),
});

async function collect(flags: unknown): Promise<void> {
  const settings = readSettings(collectSchema, flags);
  const store = new SampleStore(settings.store);
  const urls = settings.entries.split(',').map(url => url.trim());
  for (let round = 1; ; round++) {
    store.append(await collectSamples(urls));
    if (round % COMPACTION_INTERVAL === 0) store.compact(Date.now());
    if (round === settings.count) return;
    await new Promise(resolve =>
      setTimeout(resolve, settings.interval * 1_000),
    );
  }
}

async function readInForce(
  control: string | undefined,
): Promise<InForceReport | undefined> {
  if (!control) return undefined;
  const client = new OperatorClient({
    urls: control.split(',').map(url => url.trim()),
    operatorToken: readSecret('SYC_OPERATOR_TOKEN'),
  });
  return client.readInForce();
}

async function show(args: {
  store: string;
  control?: string;
  results: string;
  format: string;
  out?: string;
  availability: number;
  firstToken: number;
  firstTokenShare: number;
}): Promise<void> {
  const settings = readSettings(showSchema, args);
  const inForce = await readInForce(args.control);
  const report = buildReport({
    samples: new SampleStore(settings.store).read(),
    objectives: {
      availability: settings.availability,
      firstTokenSeconds: settings.firstToken,
      firstTokenShare: settings.firstTokenShare,
    },
    versions: inForce?.configuration.versions,
    experiments: readExperiments(args.results),
  });
  const text = RENDERERS[args.format]?.(report) ?? '';
  if (args.out) writeFileSync(args.out, text);
  else process.stdout.write(text);
}

const collectCommand = command({
  name: 'collect',
  description:
    "samples the entries' counters at intervals and appends the samples to a file",
  args: {
    entries: option({
      type: string,
      long: 'entries',
      env: 'SYC_ENTRIES',
      description: 'base URLs of the entries, separated by commas',
    }),
    interval: option({
      type: number,
      long: 'interval',
      description: 'seconds between samples',
      defaultValue: () => 10,
      defaultValueIsSerializable: true,
    }),
    count: option({
      type: number,
      long: 'count',
      description:
        'number of samples to take; 0 continues until the process is stopped',
      defaultValue: () => 0,
      defaultValueIsSerializable: true,
    }),
    store: storeOption,
  },
  handler: args => runCommand(() => collect(args)),
});

const showCommand = command({
  name: 'show',
  description:
    'shows the burn of the error budget, cost, refusals and exposure of versions',
  args: {
    store: storeOption,
    control: option({
      type: optional(string),
      long: 'control',
      env: 'SYC_CONTROL',
      description:
        'base URLs of the control instances, for exposure and roll-outs',
    }),
    results: option({
      type: string,
      long: 'results',
      description: 'folder of saved experiment results',
      defaultValue: () => 'bench-results',
      defaultValueIsSerializable: true,
    }),
    format: option({
      type: oneOf(Object.keys(RENDERERS)),
      long: 'format',
      description: 'text, json or html',
      defaultValue: () => 'text',
      defaultValueIsSerializable: true,
    }),
    out: option({
      type: optional(string),
      long: 'out',
      description: 'file to write the report to; if absent, standard output',
    }),
    availability: option({
      type: number,
      long: 'availability',
      description:
        'objective: share of requests that are answered in full, 0 to 1',
      defaultValue: () => 0.999,
      defaultValueIsSerializable: true,
    }),
    firstToken: option({
      type: number,
      long: 'first-token',
      description:
        'objective: time to first token in seconds; a bucket bound of its histogram',
      defaultValue: () => 1.6,
      defaultValueIsSerializable: true,
    }),
    firstTokenShare: option({
      type: number,
      long: 'first-token-share',
      description: 'objective: share of answers within --first-token, 0 to 1',
      defaultValue: () => 0.95,
      defaultValueIsSerializable: true,
    }),
  },
  handler: args => runCommand(() => show(args)),
});

const app = subcommands({
  name: 'syc-report',
  description: 'Reports on the burn of the service-level error budget',
  cmds: {collect: collectCommand, show: showCommand},
});

await run(app, process.argv.slice(2));
