/** The demo and the experiments. */
export {Demo} from './lib/Demo.js';
export type {DemoKeys} from './lib/Demo.js';
export {EXPERIMENTS} from './lib/experiments.js';
export type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
  ExperimentTarget,
} from './lib/experiments.js';
