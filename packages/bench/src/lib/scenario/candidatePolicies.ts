import type {ScenarioPolicies} from './runScenario.js';

/** The policies that the experiments on backend servers and admission judge. @public */
export const CANDIDATE_POLICIES: ScenarioPolicies = {
  versionPolicy: 'fixed_best',
  serverPolicy: 'least_in_flight',
  admissionPolicy: 'first_come_first_served',
};
