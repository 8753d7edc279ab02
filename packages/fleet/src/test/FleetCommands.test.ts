import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  DEFAULT_CALLER_LIMITS,
  JsonValue,
  SycamoreheadError,
} from '@sycamorehead/schema';
import {FleetCommands} from '../lib/FleetCommands.js';
import type {FleetCommandsOptions} from '../lib/FleetCommands.js';

interface Proposal {
  readonly version: number;
  resolve(isChanged: boolean): void;
  reject(error: SycamoreheadError): void;
}

/** Creates the commands of a leader whose proposals a test settles. */
function createCommands() {
  const proposals: Proposal[] = [];
  const logMember = {
    isLeader: true,
    state: {configuration: {version: 0, document: null}},
    propose: ({version}: {version: number}) =>
      new Promise<boolean>((resolve, reject) => {
        proposals.push({version, resolve, reject});
      }),
  };
  const commands = new FleetCommands({
    logMember,
    groupManager: {isComplete: () => true},
    decodeConfiguration: (document: JsonValue) => ({
      ...(document as {version: number}),
      routes: [],
      services: [],
      limits: DEFAULT_CALLER_LIMITS,
    }),
  } as unknown as FleetCommandsOptions);
  return {commands, proposals};
}

// Guards against a log that resent orders fill with copies of a large configuration.
test('a configuration that is resent before it is committed is proposed once', async () => {
  const {commands, proposals} = createCommands();
  const orders = [3, 3, 2, 4, 3, 4].map(version =>
    commands.putConfiguration({version}),
  );
  assert.deepEqual(
    proposals.map(({version}) => version),
    [3, 4],
  );
  for (const {resolve} of proposals) resolve(true);
  await Promise.all(orders);
  void commands.putConfiguration({version: 5});
  assert.equal(proposals.length, 3);
});

test('an order that waited for a proposal that failed is not acknowledged', async () => {
  const {commands, proposals} = createCommands();
  const orders = [3, 3].map(version => commands.putConfiguration({version}));
  const error = new SycamoreheadError('control_unavailable', 'no quorum');
  for (const {reject} of proposals) reject(error);
  for (const order of orders) {
    await assert.rejects(order, {kind: 'control_unavailable'});
  }
});
