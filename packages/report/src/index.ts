/** Reports on the burn of the service-level error budget. */
export {parseMetrics} from './lib/parseMetrics.js';
export type {MetricValue} from './lib/parseMetrics.js';
export {SampleStore} from './lib/SampleStore.js';
export type {Sample} from './lib/SampleStore.js';
export {collectSamples, formatSeriesKey} from './lib/collectSamples.js';
export {computeIncreases, listIncreases} from './lib/computeIncreases.js';
export type {Increases} from './lib/computeIncreases.js';
export {
  BURN_WINDOWS,
  DEFAULT_OBJECTIVES,
  classifyOutcome,
} from './lib/objectives.js';
export type {BurnWindow, Objectives, OutcomeClass} from './lib/objectives.js';
export {computeBurn} from './lib/computeBurn.js';
export type {BurnRow} from './lib/computeBurn.js';
export {buildReport} from './lib/buildReport.js';
export type {
  BurnPoint,
  CostRow,
  ExposureRow,
  RefusalRow,
  ReportSources,
  RolloutRow,
  SavedExperiment,
  ServiceReport,
} from './lib/buildReport.js';
export {readExperiments} from './lib/readExperiments.js';
export {renderText} from './lib/renderText.js';
export {renderChart} from './lib/renderChart.js';
export {renderHtml} from './lib/renderHtml.js';
