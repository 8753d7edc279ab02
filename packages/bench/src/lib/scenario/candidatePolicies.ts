import type {ScenarioPolicies} from './runScenario.js';

/** The policies that the experiments on backend servers and admission judge. @public */
export const CANDIDATE_POLICIES: ScenarioPolicies = {
  versionPolicy: 'fixed_best',
  serverPolicy: 'expected_finish',
  admissionPolicy: 'fair_work',
  hedgePolicy: 'budgeted',
  priorityPolicy: 'by_work',
};
