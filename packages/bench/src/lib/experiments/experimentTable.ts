import type {Experiment} from '../experimentTypes.js';
import {COST_EXPERIMENT} from './cost.js';
import {config} from './config.js';
import {crest} from './crest.js';
import {EXPOSURE_EXPERIMENT} from './exposure.js';
import {headOfLine} from './headOfLine.js';
import {membership} from './membership.js';
import {overhead} from './overhead.js';
import {queue} from './queue.js';
import {restart} from './restart.js';
import {rollout} from './rollout.js';
import {slopes} from './slopes.js';
import {straggler} from './straggler.js';

/** Experiments by name. @public */
export const EXPERIMENTS: Readonly<Record<string, Experiment>> = {
  cost: COST_EXPERIMENT,
  config,
  crest,
  exposure: EXPOSURE_EXPERIMENT,
  'head-of-line': headOfLine,
  membership,
  overhead,
  queue,
  restart,
  rollout,
  slopes,
  straggler,
};
