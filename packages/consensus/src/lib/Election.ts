import {createLogger} from '@sycamorehead/telemetry';
import type {ConsensusTransport, VoteRequest} from './consensusMessages.js';
import type {Member} from './logTypes.js';
import {hasQuorum, isVoter, listVoters} from './quorum.js';
import type {Mutex} from './Mutex.js';
import type {RaftState} from './RaftState.js';
import type {RaftTiming} from './raftTiming.js';
import {Signal} from './Signal.js';

const log = createLogger('consensus');

/** The dependencies that a member passes to its elections. @internal */
export interface ElectionContext {
  readonly state: RaftState;
  readonly transport: ConsensusTransport;
  readonly timing: RaftTiming;
  readonly shard: number;
  readonly lock: Mutex;
  /** Returns numbers in [0, 1), which randomise the election timeouts. */
  readonly random: () => number;
  /** Whether this member's storage has just failed; it then lets the others stand first. */
  readonly isReopened: boolean;
  onHigherTerm(term: number): void;
  /** Called under the lock once a majority has voted for this member in its term. */
  onElected(): void;
}

/**
 * Starts an election when the election timeout expires without contact from a leader. The election
 * begins with a pre-vote, which changes no state on any member. Without it, a member that returns
 * from a partition could depose a leader that the others can still reach.
 *
 * @internal
 */
export class Election {
  private lastLeaderContactAt = -Infinity;
  private timeoutStartedAt = performance.now();
  private timeoutMs = 0;
  private isStopped = false;
  private readonly signal = new Signal();

  constructor(private readonly context: ElectionContext) {
    this.restartTimeout();
  }

  /** Starts an election each time the election timeout expires, until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const leftMs = this.timeoutStartedAt + this.timeoutMs - performance.now();
      if (leftMs > 0) {
        await this.signal.wait(leftMs);
        continue;
      }
      this.restartTimeout();
      try {
        if (this.isEligible()) await this.runElection(false);
      } catch (error) {
        if (this.isStopped) return;
        log('election_failed', {error: String(error)});
      }
    }
  }

  /** Stops starting elections. */
  stop(): void {
    this.isStopped = true;
    this.signal.notify();
  }

  /** Records a message from the leader of the current term. */
  recordLeaderContact(): void {
    this.lastLeaderContactAt = performance.now();
    this.restartTimeout();
  }

  /** Starts a new random election timeout. */
  restartTimeout(): void {
    const {electionMinMs, electionMaxMs, startupElectionMaxMs} =
      this.context.timing;
    const isFirst = this.lastLeaderContactAt === -Infinity;
    this.timeoutStartedAt = performance.now();
    if (isFirst && this.context.isReopened) {
      this.timeoutMs = electionMaxMs * (1 + this.context.random());
      return;
    }
    // Members that know a live leader reject the pre-vote, so a short first timeout is safe.
    this.timeoutMs =
      isFirst && startupElectionMaxMs !== undefined
        ? this.context.random() * startupElectionMaxMs
        : electionMinMs +
          this.context.random() * (electionMaxMs - electionMinMs);
  }

  /** Lets the current timeout expire, so that the next election starts at once. */
  expireTimeout(): void {
    this.timeoutMs = 0;
    this.signal.notify();
  }

  /**
   * Returns whether this member leads or has heard from a leader within the shortest election
   * timeout. If so, it refuses to vote for other members.
   */
  hasLiveLeader(): boolean {
    const {state, timing} = this.context;
    if (state.role === 'leader') return true;
    return performance.now() - this.lastLeaderContactAt < timing.electionMinMs;
  }

  /** Runs an election, without a pre-vote if the leader requested it to transfer leadership. */
  async runElection(isTransfer: boolean): Promise<void> {
    const {state} = this.context;
    if (!isTransfer) {
      const isPreVoteWon = await this.collectVotes(state.term + 1, true, false);
      if (!isPreVoteWon || !this.isEligible() || this.hasLiveLeader()) return;
    }
    const term = await this.context.lock.run(() => this.startCandidacy());
    if (term === undefined) return;
    const isElected = await this.collectVotes(term, false, isTransfer);
    if (!isElected) return;
    await this.context.lock.run(async () => {
      if (this.isStopped || state.role !== 'candidate') return;
      if (state.term === term) this.context.onElected();
    });
  }

  private isEligible(): boolean {
    const {state} = this.context;
    return state.role !== 'leader' && isVoter(state.entries.members, state.id);
  }

  private async startCandidacy(): Promise<number | undefined> {
    const {state} = this.context;
    if (this.isStopped || !this.isEligible()) return undefined;
    state.role = 'candidate';
    state.leader = undefined;
    await state.saveVote(state.term + 1, state.id);
    this.restartTimeout();
    log('election_started', {id: state.id, term: state.term});
    return state.term;
  }

  /**
   * Requests the votes of all other voters concurrently. Returns whether those granted form a
   * majority together with this member's own vote.
   */
  private async collectVotes(
    term: number,
    isPreVote: boolean,
    isTransfer: boolean,
  ): Promise<boolean> {
    const {state} = this.context;
    const {members, last} = state.entries;
    const granted = new Set([state.id]);
    const others = listVoters(members).filter(({id}) => id !== state.id);
    return new Promise(resolve => {
      const resolveIfMajority = () => {
        if (hasQuorum(members, granted)) resolve(true);
      };
      const calls = others.map(async member => {
        const isGranted = await this.requestVote(member, {
          type: 'vote',
          shard: this.context.shard,
          group: state.vote.group,
          from: state.id,
          to: member.id,
          term,
          isPreVote,
          isTransfer,
          lastIndex: last.index,
          lastTerm: last.term,
        });
        if (isGranted) granted.add(member.id);
        resolveIfMajority();
      });
      resolveIfMajority();
      void Promise.all(calls).then(() => resolve(false));
    });
  }

  private async requestVote(
    member: Member,
    request: VoteRequest,
  ): Promise<boolean> {
    const {transport, timing, state} = this.context;
    try {
      const {address} = member;
      const reply = await transport.call(
        address,
        request,
        timing.requestTimeoutMs,
      );
      if (reply.term > state.term) this.context.onHigherTerm(reply.term);
      return reply.isGranted;
    } catch (error) {
      log('vote_failed', {from: member.id, error: String(error)});
      return false;
    }
  }
}
