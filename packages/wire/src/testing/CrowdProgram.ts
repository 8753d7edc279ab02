import assert from 'node:assert/strict';
import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, readdirSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {endWithProcess} from './endWithProcess.js';
import {CrowdOptions, HostileCrowd} from './HostileCrowd.js';

const KB_PER_MB = 1_024;
const RETRY_MS = 100;

/** Settings of a CrowdProgram. @public */
export interface CrowdProgramOptions {
  /** Arguments of Node.js: its options and the program. */
  readonly command: readonly string[];
  readonly environment: NodeJS.ProcessEnv;
  /** Memory of the machine that the program runs on, in megabytes. */
  readonly memoryMb: number;
  /** Descriptors of the machine. */
  readonly maxFds: number;
}

/**
 * A process that crowds are played against.
 *
 * @public
 */
export class CrowdProgram {
  private readonly child: ChildProcess;

  constructor(private readonly options: CrowdProgramOptions) {
    const {command, environment, memoryMb, maxFds} = options;
    this.child = spawn(process.execPath, command, {
      env: {
        PATH: process.env.PATH,
        SYC_MEMORY_MB: String(memoryMb),
        SYC_MAX_FDS: String(maxFds),
        ...environment,
      },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    endWithProcess(this.child);
  }

  // Commands.

  /** Returns the first output of the program. */
  async readFirstOutput(): Promise<string> {
    const [text] = (await once(this.child.stdout!, 'data')) as [Buffer];
    this.child.stdout!.resume();
    return text.toString();
  }

  /**
   * Plays a crowd. The process has to live, to stay within its machine's memory and descriptors, and to
   * serve an ordinary request while the crowd is connected and after it has left.
   */
  async runCrowd(
    options: CrowdOptions,
    callOrdinary: () => Promise<boolean>,
  ): Promise<void> {
    const crowd = new HostileCrowd(options);
    try {
      await crowd.send();
      this.checkUsage();
      await this.callUntilServed(callOrdinary);
      this.checkUsage();
    } finally {
      crowd.close();
    }
    await this.callUntilServed(callOrdinary);
    this.checkUsage();
  }

  /** Calls until the call is served; refusals are allowed. */
  async callUntilServed(call: () => Promise<boolean>): Promise<void> {
    while (!(await call())) {
      this.checkAlive();
      await sleep(RETRY_MS);
    }
  }

  /** Kills the process and returns once it has ended. */
  async stop(): Promise<void> {
    const {child} = this;
    if (child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGKILL');
    await once(child, 'exit');
  }

  private checkUsage(): void {
    const {memoryMb, maxFds} = this.options;
    const pid = this.checkAlive();
    const peakMb = readPeakMemoryMb(pid);
    const descriptors = readdirSync(`/proc/${pid}/fd`).length;
    console.log(`${Math.round(peakMb)} MB at most, ${descriptors} descriptors`);
    assert.ok(peakMb <= memoryMb, `${peakMb} MB of ${memoryMb}`);
    assert.ok(descriptors <= maxFds, `${descriptors} descriptors of ${maxFds}`);
  }

  private checkAlive(): number {
    const {exitCode, signalCode, pid} = this.child;
    const end = exitCode ?? signalCode;
    assert.equal(end, null, `the process ended: ${end}`);
    return pid!;
  }
}

/** Reads the most memory that a process has had resident, in megabytes. */
function readPeakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const [, kilobytes = ''] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  return Number(kilobytes) / KB_PER_MB;
}
