import type {Experiment} from '../experimentTypes.js';
import {COST_EXPERIMENT} from './cost.js';
import {EXPOSURE_EXPERIMENT} from './exposure.js';

/** Experiments by name; each stands in a file of its own. @public */
export const EXPERIMENTS: Readonly<Record<string, Experiment>> = {
  cost: COST_EXPERIMENT,
  exposure: EXPOSURE_EXPERIMENT,
};
