import type {Experiment} from '../experimentTypes.js';
import {MEMBERSHIP_EXPERIMENT} from './membership.js';

/** Experiments by name; each stands in a file of its own. @public */
export const EXPERIMENTS: Readonly<Record<string, Experiment>> = {
  membership: MEMBERSHIP_EXPERIMENT,
};
