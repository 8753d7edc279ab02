import type {JsonValue} from '@sycamorehead/schema';
import type {StateMachine} from '../lib/ReplicatedLog.js';

/** A state machine whose state is the last command, like that of a configuration. @internal */
export class LastCommandMachine implements StateMachine {
  last: JsonValue = '';

  apply(command: JsonValue): JsonValue {
    this.last = command;
    return null;
  }

  takeSnapshot(): JsonValue {
    return this.last;
  }

  restoreSnapshot(snapshot: JsonValue): void {
    this.last = snapshot;
  }
}
