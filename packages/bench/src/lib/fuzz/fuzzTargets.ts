import {fuzzEngineStreams} from './fuzzEngineStreams.js';
import {fuzzFrames} from './fuzzFrames.js';
import {fuzzHttp} from './fuzzHttp.js';
import {fuzzReleaseNote} from './fuzzReleaseNote.js';
import type {FuzzTarget} from './fuzzTypes.js';

/** Fuzzing targets by name. @public */
export const FUZZ_TARGETS: Readonly<Record<string, FuzzTarget>> = {
  'release-note': fuzzReleaseNote,
  frames: fuzzFrames,
  http: fuzzHttp,
  'engine-streams': fuzzEngineStreams,
};
