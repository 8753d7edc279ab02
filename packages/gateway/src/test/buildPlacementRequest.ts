import assert from 'node:assert/strict';
import type {PlacementRequest} from '../lib/Placement.js';
import {buildEngineConfiguration} from './GatewayHarness.js';

const [SERVICE] = buildEngineConfiguration().services;

/** Builds the demand of a request whose prompt has one segment of its own. */
export function buildPlacementRequest(segmentId: string): PlacementRequest {
  assert.ok(SERVICE);
  return {
    request: {
      id: segmentId,
      promptSegments: [{id: segmentId, tokens: 1_000}],
      size: {promptTokens: 1_000, answerTokens: 20},
    } as unknown as PlacementRequest['request'],
    service: SERVICE,
    route: 'drafts',
    variant: 'old',
    model: undefined,
    priority: 1,
    customer: undefined,
    tried: new Set(),
    startBy: performance.now() + 1_000,
    abandonAt: performance.now() + 1_000,
    deadlineAt: performance.now() + 2_000,
    signal: new AbortController().signal,
  };
}
