/** The demos, the experiments, the load generator and the fuzz targets. */
export {Demo} from './lib/Demo.js';
export type {DemoKeys} from './lib/Demo.js';
export {EXPERIMENTS} from './lib/experiments/experimentTable.js';
export type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
  ExperimentTarget,
} from './lib/experimentTypes.js';
export {updateCapacityPage} from './lib/capacity/updateCapacityPage.js';
export {FUZZ_TARGETS} from './lib/fuzz/fuzzTargets.js';
export type {FuzzOptions, FuzzTarget} from './lib/fuzz/fuzzTypes.js';
export {SeededRandom, generateArrivals} from './lib/load/arrivals.js';
export type {
  Arrival,
  ArrivalPlan,
  CustomerLoad,
  Surge,
  WorkKind,
} from './lib/load/arrivals.js';
export {computeMean, computeQuantile} from './lib/load/computeStatistics.js';
export {Fleet} from './lib/load/Fleet.js';
export type {FleetOptions} from './lib/load/Fleet.js';
export {RouteDemo} from './lib/RouteDemo.js';
export {runReportDemo} from './lib/runReportDemo.js';
export {runLoad} from './lib/load/runLoad.js';
export type {CallRecord, LoadTarget} from './lib/load/runLoad.js';
export {describeSeeds} from './lib/describeSeeds.js';
export type {SeedsSummary, SeedsTarget} from './lib/describeSeeds.js';
