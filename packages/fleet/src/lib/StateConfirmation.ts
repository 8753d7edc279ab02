import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import type {FleetState} from './FleetState.js';
import {pause} from './pause.js';

const log = createLogger('fleet');

/** Time between two attempts, in milliseconds. */
const ATTEMPT_INTERVAL_MS = 100;

/** Dependencies of a StateConfirmation. @internal */
export interface StateConfirmationOptions {
  /** Returns the state that this instance has applied; another one once the log is opened again. */
  getState(): FleetState;
  /** Waits until this instance has applied all that was committed before the call. */
  awaitCommitted(): Promise<void>;
  readonly onConfirmed: () => void;
}

/**
 * Confirms once, each time that the log is opened, that this instance has applied all that was committed
 * before. Until then its state may be older than what the operators were told.
 *
 * @internal
 */
export class StateConfirmation {
  private confirmed: FleetState | undefined;
  private isStopped = false;

  constructor(private readonly options: StateConfirmationOptions) {}

  // Commands.

  /** Confirms each state until `stop` is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (!this.state) await this.tryConfirm();
      await pause(ATTEMPT_INTERVAL_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  // Queries.

  /**
   * The state, if it includes all that was committed before the log was opened, or else undefined.
   */
  get state(): FleetState | undefined {
    const {confirmed} = this;
    return confirmed === this.options.getState() ? confirmed : undefined;
  }

  private async tryConfirm(): Promise<void> {
    const state = this.options.getState();
    try {
      await this.options.awaitCommitted();
    } catch (error) {
      log('state_not_confirmed', {error: String(error)});
      return;
    }
    if (state !== this.options.getState()) return;
    this.confirmed = state;
    writeDecision('state_confirmed', {
      version: state.configuration.version,
      evacuation: state.describeEvacuation().revision,
    });
    this.options.onConfirmed();
  }
}
