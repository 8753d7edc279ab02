import {readFileSync} from 'node:fs';
import {
  boolean,
  command,
  flag,
  number,
  option,
  positional,
  run,
  string,
  subcommands,
} from 'cmd-ts';
import {OperatorClient} from '@sycamorehead/control';
import {
  EMPTY_CONFIGURATION,
  ReleaseNote,
  SycamoreheadError,
  applyReleaseNote,
  computeDigest,
  hashKey,
  parseReleaseNote,
} from '@sycamorehead/schema';
import {readSecret, runCommand} from '@sycamorehead/telemetry';
import {buildBillsCommand} from './billsCommand.js';
import {describeChanges} from './describeChanges.js';
import {buildEvacuateCommand} from './evacuateCommand.js';
import {buildExplainCommand} from './explainCommand.js';
import {buildFleetCommand} from './fleetCommand.js';
import {buildReleaseCommand} from './releaseCommand.js';
import {formatRollout} from './formatRollout.js';
import {buildMembersCommand} from './membersCommand.js';

const POLL_INTERVAL_MS = 200;

const control = option({
  type: string,
  long: 'control',
  env: 'SYC_CONTROL',
  description: 'base URLs of the control instances, separated by commas',
});
const json = flag({type: boolean, long: 'json', description: 'print JSON'});
const noteFile = positional({
  type: string,
  displayName: 'note.yaml',
  description: 'file of the release note; - reads standard input',
});

function createClient(urls: string): OperatorClient {
  const caFile = process.env.SYC_CONTROL_CA;
  return new OperatorClient({
    urls: urls.split(',').map(url => url.trim()),
    operatorToken: readSecret('SYC_OPERATOR_TOKEN'),
    ca: caFile ? readFileSync(caFile) : undefined,
  });
}

function readNote(file: string): ReleaseNote {
  try {
    return parseReleaseNote(readFileSync(file === '-' ? 0 : file, 'utf8'));
  } catch (error) {
    if (error instanceof SycamoreheadError) throw error;
    throw new SycamoreheadError('note_invalid', `cannot read ${file}`, {
      cause: error,
    });
  }
}

async function waitUntilInForce(
  client: OperatorClient,
  revision: number,
  timeoutMs: number,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    const report = await client.readInForce();
    if (report.inForceRevision >= revision) return;
    if (performance.now() > deadline) {
      throw new SycamoreheadError(
        'timeout',
        `revision ${revision} was accepted, but is not in force on every entry after ${timeoutMs} ms`,
      );
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

const validate = command({
  name: 'validate',
  description: 'checks a release note without contacting a control instance',
  args: {noteFile},
  handler: args =>
    runCommand(async () => {
      const note = readNote(args.noteFile);
      if (note.follows === 0) applyReleaseNote(EMPTY_CONFIGURATION, note);
      console.log(`valid number=${note.number} digest=${computeDigest(note)}`);
    }),
});

const diff = command({
  name: 'diff',
  description: 'shows what a release note would change',
  args: {noteFile, control},
  handler: args =>
    runCommand(async () => {
      const note = readNote(args.noteFile);
      const {configuration} = await createClient(args.control).readInForce();
      const next = applyReleaseNote(configuration, note);
      for (const line of describeChanges(configuration, next)) {
        console.log(line);
      }
    }),
});

const publish = command({
  name: 'publish',
  description: 'publishes a release note; resending the same one is safe',
  args: {
    noteFile,
    control,
    json,
    wait: flag({
      type: boolean,
      long: 'wait',
      description: 'wait until the note is in force on every entry',
    }),
    timeout: option({
      type: number,
      long: 'timeout',
      description: 'longest time that --wait waits, in seconds',
      defaultValue: () => 30,
      defaultValueIsSerializable: true,
    }),
  },
  handler: args =>
    runCommand(async () => {
      const client = createClient(args.control);
      const result = await client.publish(readNote(args.noteFile));
      if (args.wait) {
        await waitUntilInForce(client, result.revision, args.timeout * 1_000);
      }
      const {number: noteNumber, revision, digest, state} = result;
      const line = `${state} number=${noteNumber} revision=${revision} digest=${digest}`;
      const suffix = args.wait ? ' in_force=yes' : '';
      console.log(args.json ? JSON.stringify(result) : line + suffix);
    }),
});

const inForce = command({
  name: 'in-force',
  description:
    'shows the configuration in force and which entries have confirmed it',
  args: {control, json},
  handler: args =>
    runCommand(async () => {
      const report = await createClient(args.control).readInForce();
      if (args.json) {
        console.log(JSON.stringify(report));
        return;
      }
      const {revision, noteNumber, configurationDigest} = report;
      console.log(
        `revision=${revision} note=${noteNumber} digest=${configurationDigest} in_force=${report.inForce ? 'yes' : 'no'} in_force_revision=${report.inForceRevision}`,
      );
      for (const entry of report.entries) {
        console.log(
          `entry=${entry.entry} confirmed=${entry.confirmedRevision} leased=${entry.isLeased ? 'yes' : 'no'}`,
        );
      }
      for (const [key, {state, step}] of Object.entries(
        report.configuration.versions,
      )) {
        console.log(`version=${key} state=${state} step=${step}`);
      }
    }),
});

const status = command({
  name: 'status',
  description:
    "shows the status of a control instance's log and the progress of each roll-out",
  args: {control},
  handler: args =>
    runCommand(async () => {
      const client = createClient(args.control);
      console.log(JSON.stringify(await client.readStatus()));
      for (const rollout of await client.listRollouts()) {
        console.log(formatRollout(rollout));
      }
    }),
});

const hashKeyCommand = command({
  name: 'hash-key',
  description: 'reads a key from standard input and prints its hash',
  args: {},
  handler: () =>
    runCommand(async () => {
      console.log(hashKey(readFileSync(0, 'utf8').trim()));
    }),
});

const app = subcommands({
  name: 'syc',
  description:
    'Command line for operators. SYC_OPERATOR_TOKEN (or …_FILE) holds the token; SYC_CONTROL_CA is the file of a private certificate authority',
  cmds: {
    validate,
    diff,
    publish,
    'in-force': inForce,
    status,
    members: buildMembersCommand(createClient),
    fleet: buildFleetCommand(),
    explain: buildExplainCommand(),
    release: buildReleaseCommand(),
    evacuate: buildEvacuateCommand(),
    bills: buildBillsCommand({control, createClient}),
    'hash-key': hashKeyCommand,
  },
});

await run(app, process.argv.slice(2));
