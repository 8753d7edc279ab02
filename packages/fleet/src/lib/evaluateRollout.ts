import {
  AnswerCounts,
  NO_COUNTS,
  RouteEvidence,
  sumCounts,
} from './rolloutEvidence.js';

/** Regression of a new version that causes its rollback. @public */
export type RegressionReason = 'failures' | 'slow';

/** Log likelihood ratios of a version with each regression to one without. */
type Scores = Readonly<Record<RegressionReason, number>>;

/** Limits of the scores over all routes and of those of one route. */
interface ScoreLimits {
  readonly total: Scores;
  readonly route: Scores;
}

const REASONS: readonly RegressionReason[] = ['failures', 'slow'];

/**
 * Increase of the failure rate that a bad version shows at least, over all routes and on a single
 * one.
 */
const FAILURE_INCREASES = {total: 0.25, route: 0.35} as const;
const MAX_FAILURE_RATE = 0.95;
/** Prior of the old version's failure rate: this many answers, one of them failed. */
const PRIOR_ANSWERS = 20;
/**
 * Ways in which a bad version is slow at least: how many of its answers, by how many octaves. Times
 * of different periods differ by the load, so that less can be concluded from them.
 */
const SLOW_KINDS = {
  samePeriod: [
    {share: 1, octaves: Math.log2(2.2)},
    {share: 0.35, octaves: Math.log2(6)},
  ],
  otherPeriod: [
    {share: 1, octaves: Math.log2(4)},
    {share: 0.5, octaves: Math.log2(10)},
  ],
} as const;
/** Prior distribution of the old version's answer times over the classes of their histogram. */
const PRIOR_TIMES = [0.03, 0.2, 0.42, 0.22, 0.08, 0.03, 0.02] as const;
/** Number of answers for which the prior counts. */
const PRIOR_TIMED = 6;
/** Bounds of the log likelihood ratio of one answer time, since no single answer is proof. */
const MIN_TIME_GAIN = -1;
const MAX_TIME_GAIN = 1.5;
/**
 * Minimum number of answers of the old version in the same period for a baseline. Otherwise its
 * answers since the order are used.
 */
const MIN_BASELINE_ANSWERS = 20;
/**
 * Bounds of the evidence of one server, as a log likelihood ratio. Servers of any version may be in
 * trouble, so that several have to show that a version is bad; one alone can if it is the only one.
 */
const MIN_SERVER_SCORE = -5;
const MAX_SERVER_SCORE = 2.6;
/** The bounds' sum over all servers with which a version of few servers can still be found bad. */
const MIN_SUM_OF_MAX_SCORES = 10;
/**
 * Log likelihood ratios above which a version counts as bad. That of one of several routes is larger
 * more often by chance.
 */
const BAD_SCORES: ScoreLimits = {
  total: {failures: 7, slow: 7},
  route: {failures: 9, slow: 9},
};
/** Log likelihood ratios above which a version may be bad. */
const SUSPICIOUS_SCORES: ScoreLimits = {
  total: {failures: 3, slow: 3},
  route: {failures: 6, slow: 9},
};
/** Log likelihood ratios below which a version counts as good. */
const GOOD_SCORES: ScoreLimits = {
  total: {failures: -6, slow: -7},
  route: {failures: -1.5, slow: 0.5},
};
/** Share of the old version's answers from which a route is evaluated on its own. */
const MIN_ROUTE_SHARE = 0.05;

/**
 * What the evidence says of a new version. `good` and `bad` are shown by it; `suspicious` means that
 * it may be bad, `unknown` that there is too little evidence.
 *
 * @public
 */
export type VersionVerdict = 'good' | 'unknown' | 'suspicious' | 'bad';

/** Assessment of a new version. @public */
export interface VersionAssessment {
  readonly verdict: VersionVerdict;
  /** The regression of a bad version. */
  readonly reason: RegressionReason | undefined;
  /** Over all routes. */
  readonly scores: Scores;
  /** Answers of the new version. */
  readonly answers: number;
}

/** The input of an evaluation. @public */
export interface EvaluationInput {
  /** Evidence of the period that is evaluated. */
  readonly routes: readonly RouteEvidence[];
  /** All evidence, for a baseline if the old version had few answers in the period. */
  readonly sinceOrder: readonly RouteEvidence[];
  /** Backend servers that are ready with the new version. */
  readonly freshServers: number;
  /** Whether requests still go to both versions. */
  readonly isSplit: boolean;
}

/**
 * Evaluates a new version against the old one, over all routes and on each route separately, since
 * a version may be bad on one route only. Answer times are compared by their ratio to the expected
 * ones, so that the load of the servers and the prompts matter little. The evidence is summed by
 * server: one server in trouble does not speak for its version.
 *
 * @example
 * ```ts
 * evaluateRollout({routes, sinceOrder: routes, freshServers: 8, isSplit: true}).verdict; // 'unknown'
 * ```
 * @public
 */
export function evaluateRollout(input: EvaluationInput): VersionAssessment {
  const {routes, freshServers} = input;
  const baseline = buildBaseline(input);
  const total = scoreRoutes(
    routes,
    baseline,
    freshServers,
    FAILURE_INCREASES.total,
  );
  const parts = routes
    .filter(({route}) => baseline.isSignificant(route))
    .map(group =>
      scoreRoutes([group], baseline, freshServers, FAILURE_INCREASES.route),
    );
  const answers = sumCounts(
    routes.flatMap(({servers}) => [...servers.values()]),
  ).answers;
  const isAbove = (name: RegressionReason, limits: ScoreLimits) =>
    total[name] > limits.total[name] ||
    parts.some(scores => scores[name] > limits.route[name]);
  const reason = REASONS.find(name => isAbove(name, BAD_SCORES));
  const isSuspicious = REASONS.some(name => isAbove(name, SUSPICIOUS_SCORES));
  const isGood = REASONS.every(
    name =>
      total[name] < GOOD_SCORES.total[name] &&
      parts.every(scores => scores[name] < GOOD_SCORES.route[name]),
  );
  const verdict = chooseVerdict(reason !== undefined, isSuspicious, isGood);
  return {verdict, reason, scores: total, answers};
}

/** The old version's rates, with which the new version's answers are compared. */
interface Baseline {
  /** Whether it is of the same period as the new version's answers. */
  readonly period: keyof typeof SLOW_KINDS;
  getFailureRate(route: string): number;
  /** Returns the distribution of the answer times relative to the expected ones. */
  getTimes(route: string): readonly number[];
  /** Returns whether the route has a relevant share of the traffic. */
  isSignificant(route: string): boolean;
}

function chooseVerdict(
  isBad: boolean,
  isSuspicious: boolean,
  isGood: boolean,
): VersionVerdict {
  if (isBad) return 'bad';
  if (isSuspicious) return 'suspicious';
  return isGood ? 'good' : 'unknown';
}

function buildBaseline({
  routes,
  sinceOrder,
  isSplit,
}: EvaluationInput): Baseline {
  const recentTotal = sumCounts(routes.map(({old}) => old));
  const isRecent = recentTotal.answers >= MIN_BASELINE_ANSWERS;
  const groups = isRecent ? routes : sinceOrder;
  const byRoute = new Map(groups.map(({route, old}) => [route, old]));
  const total = sumCounts(byRoute.values());
  const getCounts = (route: string) => byRoute.get(route) ?? NO_COUNTS;
  const totalRate = computeFailureRate(total);
  return {
    period: isSplit && isRecent ? 'samePeriod' : 'otherPeriod',
    getFailureRate: route =>
      Math.max(totalRate, computeFailureRate(getCounts(route))),
    getTimes: route =>
      computeDistribution(
        getCounts(route).times,
        computeDistribution(total.times, PRIOR_TIMES),
      ),
    isSignificant: route =>
      getCounts(route).answers >= MIN_ROUTE_SHARE * total.answers,
  };
}

function computeFailureRate({answers, failures, losses}: AnswerCounts): number {
  return (failures + losses + 1) / (answers + PRIOR_ANSWERS);
}

/** Log likelihood ratios of one server. */
interface ServerScores {
  failures: number;
  /** One for each of the `SLOW_KINDS`. */
  slow: number[];
}

/** Computes the log likelihood ratios of some routes, summed over the servers. */
function scoreRoutes(
  routes: readonly RouteEvidence[],
  baseline: Baseline,
  freshServers: number,
  failureIncrease: number,
): Scores {
  const kinds = SLOW_KINDS[baseline.period];
  const servers = new Map<string, ServerScores>();
  for (const {route, servers: counts} of routes) {
    const rate = baseline.getFailureRate(route);
    const times = baseline.getTimes(route);
    const gains = kinds.map(kind => computeTimeGains(times, kind));
    for (const [id, own] of counts) {
      if (own.answers === 0) continue;
      const scores = servers.get(id) ?? {
        failures: 0,
        slow: kinds.map(() => 0),
      };
      servers.set(id, scores);
      scores.failures += scoreFailures(own, rate, failureIncrease);
      gains.forEach((gain, index) => {
        scores.slow[index]! += scoreTimes(own.times, gain);
      });
    }
  }
  const list = [...servers.values()];
  const maxScore = Math.max(
    MAX_SERVER_SCORE,
    MIN_SUM_OF_MAX_SCORES / Math.max(1, freshServers),
  );
  const sumScores = (scores: readonly number[]) =>
    scores.reduce(
      (sum, score) =>
        sum + Math.max(MIN_SERVER_SCORE, Math.min(maxScore, score)),
      0,
    );
  const slowScores = kinds.map((_, index) =>
    sumScores(list.map(({slow}) => slow[index]!)),
  );
  return {
    failures: sumScores(list.map(({failures}) => failures)),
    slow: Math.max(...slowScores),
  };
}

function scoreFailures(
  {answers, failures, losses}: AnswerCounts,
  rate: number,
  increase: number,
): number {
  const badRate = Math.min(MAX_FAILURE_RATE, rate + increase);
  const failed = Math.min(answers, failures + losses);
  return (
    failed * Math.log(badRate / rate) +
    (answers - failed) * Math.log((1 - badRate) / (1 - rate))
  );
}

/** Sums the log likelihood ratios of the answers in each class of a histogram. */
function scoreTimes(
  times: readonly number[],
  gains: readonly number[],
): number {
  return times.reduce((sum, count, index) => sum + count * gains[index]!, 0);
}

/** Computes the log likelihood ratio of a slow answer to a usual one for each class. */
function computeTimeGains(
  times: readonly number[],
  {share, octaves}: {share: number; octaves: number},
): number[] {
  const slowTimes = times.map(() => 0);
  times.forEach((probability, index) => {
    const shifted = index + octaves;
    const lower = Math.floor(shifted);
    const last = times.length - 1;
    const upperPart = probability * (shifted - lower);
    slowTimes[Math.min(last, lower)]! += probability - upperPart;
    slowTimes[Math.min(last, lower + 1)]! += upperPart;
  });
  return times.map((probability, index) => {
    const slow = (1 - share) * probability + share * slowTimes[index]!;
    const gain = Math.log(slow / probability);
    return Math.max(MIN_TIME_GAIN, Math.min(MAX_TIME_GAIN, gain));
  });
}

/** Computes a distribution from a histogram and a prior distribution. */
function computeDistribution(
  times: readonly number[],
  prior: readonly number[],
): number[] {
  const total = times.reduce((sum, count) => sum + count, 0);
  return times.map(
    (count, index) =>
      (count + PRIOR_TIMED * prior[index]!) / (total + PRIOR_TIMED),
  );
}
