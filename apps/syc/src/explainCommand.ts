import {readFileSync, statSync} from 'node:fs';
import {
  boolean,
  command,
  flag,
  option,
  optional,
  positional,
  string,
} from 'cmd-ts';
import {ENTRY_METHODS, RequestExplanation} from '@sycamorehead/fleet';
import {SycamoreheadError} from '@sycamorehead/schema';
import {readOptionalSecret, runCommand} from '@sycamorehead/telemetry';
import {buildQuestion} from './buildQuestion.js';
import {formatExplanation} from './formatExplanation.js';
import {requestFleet} from './requestFleet.js';

/** Largest body that a question carries, in bytes. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

function describeOption(long: string, description: string) {
  return option({type: optional(string), long, description});
}

/** Builds `syc explain`, which asks an entry where a request would go now, and why. @internal */
export function buildExplainCommand() {
  return command({
    name: 'explain',
    description:
      "shows where an entry would send a request now, and why, without sending it. SYC_CALLER_KEY (or …_FILE) holds the caller's key, unless --customer names the customer",
    args: {
      url: positional({type: string, displayName: 'HOST/PATH'}),
      entry: option({
        type: string,
        long: 'entry',
        env: 'SYC_ENTRY',
        description: "IP:PORT of an entry's peer port",
      }),
      customer: describeOption('customer', 'name of the customer'),
      method: describeOption('method', 'method of the request; GET if absent'),
      id: describeOption(
        'id',
        'id of the request, which decides between services by weight and between versions; random if absent',
      ),
      session: describeOption('session', 'session of the request'),
      tokens: describeOption(
        'tokens',
        'IN,OUT: tokens of the prompt, and of the answer at most',
      ),
      segments: describeOption(
        'segments',
        'ID:TOKENS,...: segments of the prompt in order',
      ),
      waitMs: describeOption(
        'wait-ms',
        'time for which the caller waits, in milliseconds',
      ),
      body: describeOption(
        'body',
        'file with the body, by which requests in quarantine are known',
      ),
      limit: describeOption(
        'limit',
        'number of servers to list; 20 if absent, 300 at most',
      ),
      json: flag({type: boolean, long: 'json', description: 'print JSON'}),
    },
    handler: ({entry, body, json, ...args}) =>
      runCommand(async () => {
        const question = {
          ...buildQuestion(args),
          key:
            args.customer === undefined
              ? readOptionalSecret('SYC_CALLER_KEY')
              : undefined,
          body: body === undefined ? undefined : readBody(body),
        };
        const explanation = await requestFleet<RequestExplanation>(
          entry,
          ENTRY_METHODS.explain,
          question,
        );
        const lines = json
          ? [JSON.stringify(explanation)]
          : formatExplanation(explanation);
        for (const line of lines) console.log(line);
      }),
  });
}

function readBody(file: string): string {
  try {
    if (statSync(file).size <= MAX_BODY_BYTES) {
      return readFileSync(file).toString('base64');
    }
  } catch (error) {
    throw new SycamoreheadError('malformed_request', `cannot read ${file}`, {
      cause: error,
    });
  }
  throw new SycamoreheadError(
    'body_too_large',
    `${file} exceeds ${MAX_BODY_BYTES} bytes`,
  );
}
