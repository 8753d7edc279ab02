import {
  ConfiguredVersion,
  JsonValue,
  SessionPin,
  VersionRef,
  formatVersionKey,
  isServing,
} from '@sycamorehead/schema';
import type {ControlCommand} from './controlCommands.js';

type PinCommand = Extract<ControlCommand, {type: 'pin_session'}>;

interface PinnedSession {
  readonly session: string;
  readonly customer: string;
  readonly version: VersionRef;
  readonly at: number;
}

/** Idle time after which a session is forgotten, in milliseconds. */
const SESSION_IDLE_MS = 24 * 60 * 60 * 1_000;
const MAX_SESSIONS = 200_000;

/**
 * Sessions and their versions. The first write wins; a version that no longer serves ends the
 * pin. Kept in order of last use, so that the oldest are dropped first.
 *
 * @internal
 */
export class SessionPins {
  private sessions = new Map<string, PinnedSession>();

  /** Pins a session, or returns the version that it is pinned to. */
  pin(
    command: PinCommand,
    versions: Readonly<Record<string, ConfiguredVersion>>,
  ): SessionPin {
    const {session, customer, version, at} = command;
    const key = `${customer}\n${session}`;
    this.expireIdle(at);
    const before = this.sessions.get(key);
    const pinned = before && versions[formatVersionKey(before.version)];
    const isKept = pinned !== undefined && isServing(pinned);
    const kept = isKept && before ? before.version : version;
    this.sessions.delete(key);
    this.sessions.set(key, {session, customer, version: kept, at});
    return {...kept, isNew: !isKept};
  }

  toJson(): JsonValue {
    return [...this.sessions.values()] as unknown as JsonValue;
  }

  restore(json: JsonValue): void {
    const sessions = json as unknown as PinnedSession[];
    this.sessions = new Map(
      sessions.map(entry => [`${entry.customer}\n${entry.session}`, entry]),
    );
  }

  private expireIdle(now: number): void {
    for (const [key, {at}] of this.sessions) {
      const isIdle = now - at > SESSION_IDLE_MS;
      if (!isIdle && this.sessions.size < MAX_SESSIONS) return;
      this.sessions.delete(key);
    }
  }
}
