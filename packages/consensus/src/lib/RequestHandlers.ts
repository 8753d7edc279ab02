import {SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {
  AppendReply,
  AppendRequest,
  ConsensusReplies,
  ConsensusRequest,
  ReplyTo,
  SnapshotReply,
  SnapshotRequest,
  TransferReply,
  VoteReply,
  VoteRequest,
} from './consensusMessages.js';
import type {Election} from './Election.js';
import type {RaftState} from './RaftState.js';
import {SnapshotReceiver} from './SnapshotReceiver.js';

const log = createLogger('consensus');

/** The dependencies that a member passes to its request handlers. @internal */
export interface HandlerContext {
  readonly state: RaftState;
  readonly election: Election;
  /** Makes this member a follower in a term and records the leader, if known. */
  follow(
    term: number,
    leader: string | undefined,
    group: string,
  ): Promise<void>;
}

type HandlerTable = {
  [Type in ConsensusRequest['type']]: (
    request: Extract<ConsensusRequest, {type: Type}>,
  ) => Promise<ConsensusReplies[Type]>;
};

/**
 * Handles the requests of other members. The caller runs them one at a time, so that no vote can be
 * granted between the check of an append request and the sync of its entries.
 *
 * @internal
 */
export class RequestHandlers {
  private readonly receiver = new SnapshotReceiver();

  private readonly handlers: HandlerTable = {
    vote: request => this.handleVote(request),
    append: request => this.handleAppend(request),
    snapshot: request => this.handleSnapshot(request),
    transfer: request => this.handleTransfer(request.term),
  };

  constructor(private readonly context: HandlerContext) {}

  /** Handles one request and returns its reply. */
  handle<Request extends ConsensusRequest>(
    request: Request,
  ): Promise<ReplyTo<Request>> {
    const handler = this.handlers[request.type] as unknown as (
      request: Request,
    ) => Promise<ReplyTo<Request>>;
    return handler(request);
  }

  private async handleVote(request: VoteRequest): Promise<VoteReply> {
    const {state} = this.context;
    const refusal = {term: state.term, isGranted: false};
    if (request.term < state.term) return refusal;
    const isRefused =
      !request.isTransfer && this.context.election.hasLiveLeader();
    if (isRefused) return refusal;
    if (request.isPreVote) {
      const isGranted = request.term > state.term && this.isUpToDate(request);
      return {term: state.term, isGranted};
    }
    if (request.term > state.term) {
      await this.context.follow(request.term, undefined, request.group);
    }
    const {votedFor} = state.vote;
    const isVoteAvailable = votedFor === '' || votedFor === request.from;
    if (!isVoteAvailable || !this.isUpToDate(request)) {
      return {term: state.term, isGranted: false};
    }
    if (votedFor === '') await state.saveVote(state.term, request.from);
    this.context.election.restartTimeout();
    return {term: state.term, isGranted: true};
  }

  private async handleAppend(request: AppendRequest): Promise<AppendReply> {
    const {state} = this.context;
    const {entries} = state;
    if (request.term < state.term) {
      return {term: state.term, isMatching: false, index: 0};
    }
    await this.context.follow(request.term, request.from, request.group);
    const {previousIndex, previousTerm} = request;
    if (previousIndex > entries.lastIndex) {
      const index = entries.lastIndex + 1;
      return {term: state.term, isMatching: false, index};
    }
    // Entries before the base have been compacted and are committed, so their terms can't differ.
    const ownTerm = entries.getTerm(previousIndex);
    if (ownTerm !== undefined && ownTerm !== previousTerm) {
      const index = Math.max(1, entries.findFirstOfTerm(previousIndex));
      return {term: state.term, isMatching: false, index};
    }
    await this.appendNew(request);
    const index = previousIndex + request.entries.length;
    state.advanceCommit(Math.min(request.commitIndex, index));
    return {term: state.term, isMatching: true, index};
  }

  private async appendNew(request: AppendRequest): Promise<void> {
    const {entries, storage, commitIndex} = this.context.state;
    const newEntries = request.entries.filter(
      ({index, term}) =>
        index > entries.base.index && entries.getTerm(index) !== term,
    );
    const [first] = newEntries;
    const last = newEntries.at(-1);
    if (!first || !last) return storage.flush();
    if (first.index <= commitIndex) {
      throw new SycamoreheadError(
        'internal',
        `entry ${first.index} of term ${first.term} contradicts a committed one`,
      );
    }
    if (first.index <= entries.lastIndex) entries.truncate(first.index);
    const texts = newEntries.map(entry => entries.append(entry));
    await storage.append(texts, last);
  }

  private async handleSnapshot(
    request: SnapshotRequest,
  ): Promise<SnapshotReply> {
    const {state} = this.context;
    if (request.term < state.term) {
      return {term: state.term, isInstalled: false, nextOffset: 0};
    }
    await this.context.follow(request.term, request.from, request.group);
    const {index, snapshotTerm, members, totalBytes} = request;
    const installed = {
      term: state.term,
      isInstalled: true,
      nextOffset: totalBytes,
    };
    if (index <= state.commitIndex) return installed;
    const {nextOffset, data} = this.receiver.receive(request);
    if (!data) return {term: state.term, isInstalled: false, nextOffset};
    await state.installSnapshot({index, term: snapshotTerm, members, data});
    return installed;
  }

  private async handleTransfer(term: number): Promise<TransferReply> {
    if (
      term === this.context.state.term &&
      this.context.state.role === 'follower'
    ) {
      void this.context.election.runElection(true).catch((error: unknown) => {
        log('transfer_election_failed', {error: String(error)});
      });
    }
    return {term: this.context.state.term};
  }

  private isUpToDate({lastIndex, lastTerm}: VoteRequest): boolean {
    const {index, term} = this.context.state.entries.last;
    if (lastTerm !== term) return lastTerm > term;
    return lastIndex >= index;
  }
}
