import type {JsonValue} from '@sycamorehead/schema';
import type {LogStatus, ReplicatedLog, StateMachine} from './ReplicatedLog.js';

/**
 * A log with a single voter and no storage, for development and for tests of dependent packages.
 *
 * @public
 */
export class SingleVoterLog implements ReplicatedLog {
  private index = 0;

  constructor(
    private readonly name: string,
    private readonly machine: StateMachine,
  ) {}

  async propose(command: JsonValue): Promise<JsonValue> {
    this.index += 1;
    return this.machine.apply(command, this.index);
  }

  async confirmLeadership(): Promise<void> {}

  getStatus(): LogStatus {
    return {
      shard: 0,
      role: 'leader',
      term: 1,
      leader: this.name,
      commitIndex: this.index,
      lastIndex: this.index,
      voters: [this.name],
    };
  }

  addLeaderListener(): void {}

  async stop(): Promise<void> {}
}
