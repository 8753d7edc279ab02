import type {JsonValue} from '@sycamorehead/schema';
import type {StateMachine} from '../lib/ReplicatedLog.js';

/** An applied command with its log index. @internal */
export interface AppliedCommand {
  readonly index: number;
  readonly command: string;
}

/**
 * A state machine whose state is the list of applied commands.
 *
 * @internal
 */
export class RecordingMachine implements StateMachine {
  applied: AppliedCommand[] = [];

  constructor(
    private readonly onApply: (applied: AppliedCommand) => void = () => {},
  ) {}

  apply(command: JsonValue, index: number): JsonValue {
    const applied = {index, command: String(command)};
    this.applied.push(applied);
    this.onApply(applied);
    return this.applied.length;
  }

  takeSnapshot(): JsonValue {
    return this.applied.map(({index, command}) => ({index, command}));
  }

  restoreSnapshot(snapshot: JsonValue): void {
    this.applied = [...(snapshot as unknown as AppliedCommand[])];
  }

  /** Returns the commands in the order in which they were applied. */
  list(): string[] {
    return this.applied.map(({command}) => command);
  }
}
