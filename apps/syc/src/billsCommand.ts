import {readFileSync} from 'node:fs';
import {boolean, command, flag, option, optional, string} from 'cmd-ts';
import type {LedgerReport, OperatorClient} from '@sycamorehead/control';
import {Bill, SycamoreheadError} from '@sycamorehead/schema';
import {runCommand} from '@sycamorehead/telemetry';
import {compareAnswers} from './compareAnswers.js';

/** Dependencies of the command. @internal */
export interface BillsCommandOptions {
  readonly control: ReturnType<typeof option<typeof string>>;
  readonly createClient: (urls: string) => OperatorClient;
}

/** Builds `syc bills`. @internal */
export function buildBillsCommand(options: BillsCommandOptions) {
  return command({
    name: 'bills',
    description:
      'prints the totals and checks that each finished request has exactly one bill',
    args: {
      control: options.control,
      json: flag({
        type: boolean,
        long: 'json',
        description: 'print the bills and the report as JSON',
      }),
      customer: option({
        type: optional(string),
        long: 'customer',
        description: 'only the bills of this customer',
      }),
      answers: option({
        type: optional(string),
        long: 'answers',
        description:
          "file with the entries' logs; checks that each request with a released answer has a bill",
      }),
    },
    handler: args =>
      runCommand(async () => {
        const client = options.createClient(args.control);
        const [bills, report] = [
          await client.listBills(args.customer),
          await client.readLedger(),
        ];
        if (args.json) console.log(JSON.stringify({bills, ...report}));
        else showReport(report, args.customer);
        checkReport(report);
        if (args.answers) checkAnswers(args.answers, bills, args.customer);
      }),
  });
}

function showReport(report: LedgerReport, customer?: string): void {
  for (const total of report.totals) {
    if (customer && total.customer !== customer) continue;
    console.log(
      `customer=${total.customer} item=${total.item} bills=${total.bills} amount_micros=${total.amountMicros}`,
    );
  }
  for (const key of report.unknown) console.log(`unknown_outcome=${key}`);
  console.log(
    `unbilled=${report.unbilled.length} unknown=${report.unknown.length} folded=${report.foldedBills}`,
  );
}

function checkReport({unbilled}: LedgerReport): void {
  if (unbilled.length === 0) return;
  throw new SycamoreheadError(
    'internal',
    `${unbilled.length} finished requests have no bill; the first is ${unbilled[0]}`,
  );
}

function checkAnswers(
  file: string,
  bills: readonly Bill[],
  customer?: string,
): void {
  const result = compareAnswers(readFileSync(file, 'utf8'), bills, customer);
  console.log(
    `answers=${result.answers} billed_once=${result.billedOnce} missing=${result.missing.length}`,
  );
  if (result.missing.length === 0) return;
  throw new SycamoreheadError(
    'internal',
    `${result.missing.length} answered requests have no bill; the first is ${result.missing[0]}`,
  );
}
