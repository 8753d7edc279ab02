/** Entry point of the worker thread that runs an EngineHost's stand-in engines. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {parentPort, workerData} from 'node:worker_threads';
import {StandInEngine} from '@sycamorehead/stand-ins';
import type {
  EngineHostCommand,
  EngineHostReply,
  EngineHostSettings,
} from './EngineHost.js';

const NANOSECONDS_PER_MS = 1e6;

const settings = workerData as EngineHostSettings;
const engines = settings.engines.map(options => new StandInEngine(options));
const loopDelay = monitorEventLoopDelay({resolution: 1});

function sendReply(reply: EngineHostReply): void {
  parentPort?.postMessage(reply);
}

const HANDLERS: {
  readonly [Kind in EngineHostCommand['kind']]: (
    command: Extract<EngineHostCommand, {kind: Kind}>,
  ) => void | Promise<void>;
} = {
  set_faults({engine, faults}) {
    const target = engines[engine];
    if (target) Object.assign(target.faults, faults);
  },
  reset() {
    loopDelay.reset();
    for (const engine of engines) engine.runs.length = 0;
  },
  collect() {
    sendReply({
      kind: 'collected',
      loopDelayP99Ms: loopDelay.percentile(99) / NANOSECONDS_PER_MS,
      runs: engines.map(({runs}) =>
        runs.map(({id, version, tokens, outcome}) => ({
          id,
          version,
          tokens,
          outcome,
        })),
      ),
    });
  },
  async stop() {
    await Promise.all(engines.map(engine => engine.stop()));
    loopDelay.disable();
    sendReply({kind: 'stopped'});
    parentPort?.close();
  },
};

parentPort?.on('message', (command: EngineHostCommand) => {
  void HANDLERS[command.kind](command as never);
});
loopDelay.enable();
await Promise.all(engines.map(engine => engine.start()));
sendReply({kind: 'started'});
