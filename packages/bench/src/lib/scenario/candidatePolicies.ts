import type {ScenarioPolicies} from './runScenario.js';

/** Candidate policies of the experiments on server selection and admission. @public */
export const CANDIDATE_POLICIES: ScenarioPolicies = {
  versionPolicy: 'fixed_best',
  serverPolicy: 'expected_finish',
  admissionPolicy: 'fair_work',
  hedgePolicy: 'budgeted',
  priorityPolicy: 'by_work',
};
