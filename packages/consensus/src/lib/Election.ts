import {createLogger} from '@sycamorehead/telemetry';
import type {ConsensusTransport, VoteRequest} from './consensusMessages.js';
import type {Member} from './logTypes.js';
import {hasQuorum, isVoter, listVoters} from './quorum.js';
import type {Mutex} from './Mutex.js';
import type {RaftState} from './RaftState.js';
import type {RaftTiming} from './raftTiming.js';
import {Signal} from './Signal.js';

const log = createLogger('consensus');

/** What elections need of their member. @internal */
export interface ElectionContext {
  readonly state: RaftState;
  readonly transport: ConsensusTransport;
  readonly timing: RaftTiming;
  readonly shard: number;
  readonly lock: Mutex;
  /** Numbers in [0, 1) that spread the election timeouts. */
  readonly random: () => number;
  onHigherTerm(term: number): void;
  /** Called under the lock when a majority has voted for this member in its term. */
  onElected(): void;
}

/**
 * Stands for election when no leader is heard: first a pre-vote, which changes nothing anywhere,
 * so that a member that was cut off does not depose a leader that others still hear.
 *
 * @internal
 */
export class Election {
  private lastHeardAt = -Infinity;
  private timeoutStartedAt = performance.now();
  private timeoutMs = 0;
  private isStopped = false;
  private readonly signal = new Signal();

  constructor(private readonly context: ElectionContext) {
    this.restartTimeout();
  }

  /** Watches for the silence of leaders until stopped. */
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

  /** Ends the watch. */
  stop(): void {
    this.isStopped = true;
    this.signal.notify();
  }

  /** Notes that the leader of the current term was heard. */
  recordLeaderContact(): void {
    this.lastHeardAt = performance.now();
    this.restartTimeout();
  }

  /** Begins a new random timeout. */
  restartTimeout(): void {
    const {
      electionMinMs,
      electionMaxMs,
      startupElectionMaxMs: firstElectionMs,
    } = this.context.timing;
    const isFirst = this.lastHeardAt === -Infinity;
    this.timeoutStartedAt = performance.now();
    // A live leader refutes an early pre-vote, so nothing is lost by it.
    this.timeoutMs =
      isFirst && firstElectionMs !== undefined
        ? this.context.random() * firstElectionMs
        : electionMinMs +
          this.context.random() * (electionMaxMs - electionMinMs);
  }

  /** Lets the next election begin at once. */
  expireTimeout(): void {
    this.timeoutMs = 0;
    this.signal.notify();
  }

  /** Tells whether a leader was heard so lately that a vote against it is refused. */
  hasLiveLeader(): boolean {
    const {state, timing} = this.context;
    if (state.role === 'leader') return true;
    return performance.now() - this.lastHeardAt < timing.electionMinMs;
  }

  /** Stands for election; a transfer from the leader needs no pre-vote. */
  async runElection(isTransfer: boolean): Promise<void> {
    const {state} = this.context;
    if (!isTransfer) {
      const isWelcome = await this.collectVotes(state.term + 1, true, false);
      if (!isWelcome || !this.isEligible() || this.hasLiveLeader()) return;
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
    log('candidate', {id: state.id, term: state.term});
    return state.term;
  }

  /** Returns whether a majority grants its vote; the members are asked all at once. */
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
      const check = () => {
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
        check();
      });
      check();
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
