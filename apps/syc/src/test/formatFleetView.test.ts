import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {FleetDescription} from '@sycamorehead/fleet';
import {formatFleetView} from '../formatFleetView.js';

const FLEET: FleetDescription = {
  instance: '10.1.0.4',
  role: 'leader',
  leader: '10.1.0.4',
  term: 3,
  members: [
    {id: 'a/1', instance: '10.1.0.4', address: '10.1.0.4:7', role: 'voter'},
    {id: 'b/2', instance: '10.1.0.5', address: '10.1.0.5:7', role: 'learner'},
  ],
  configuration: {
    version: 9,
    routes: [
      {
        name: 'drafts',
        host: 'shop.example',
        pathPrefix: '/drafts/',
        kind: 'streaming',
        services: [
          {service: 'pool', weight: 9},
          {service: 'spare', weight: 1},
        ],
        timeoutMs: 20_000,
        targetLatencyMs: 1_500,
        longestPauseMs: 1_000,
        priority: 0,
        maxAttempts: 3,
        isPublic: false,
        isResumable: true,
        models: ['small', 'large'],
      },
    ],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    customers: [{name: 'clinic', keys: ['secret-key'], priority: undefined}],
  },
  limits: {'i-1 17': [2.5, 120], 'i-2 18': [null, 900]},
  rollouts: [
    {
      service: 'pool',
      target: 'v2',
      durationMs: 24_000,
      phase: 'in_progress',
      share: 0.09,
      number: 1,
      isEarly: true,
    },
  ],
  servers: [
    {
      isSilent: true,
      registration: {
        id: 's1',
        service: 'pool',
        address: '10.2.0.4:80',
        dataCentre: 'a',
        version: 'v1',
        slots: 64,
        state: 'ready',
        startedAtMs: 1,
        sequence: 4,
      },
    },
  ],
};

test('each view of a fleet has one line per item', () => {
  assert.deepEqual(formatFleetView('routes', FLEET, false), [
    'route=drafts place=shop.example/drafts/ kind=streaming services=pool:9,spare:1 ' +
      'models=small,large timeout_ms=20000 target_ms=1500 attempts=3 version=9',
  ]);
  assert.deepEqual(formatFleetView('servers', FLEET, false), [
    'server=s1 service=pool address=10.2.0.4:80 data_centre=a version=v1 slots=64 state=silent',
  ]);
  assert.deepEqual(formatFleetView('rollouts', FLEET, false), [
    'service=pool target=v2 phase=in_progress share=0.09 duration_ms=24000',
  ]);
  assert.deepEqual(formatFleetView('members', FLEET, false), [
    'member=10.1.0.4 role=leader address=10.1.0.4:7 id=a/1 term=3',
    'member=10.1.0.5 role=learner address=10.1.0.5:7 id=b/2 term=3',
  ]);
  assert.deepEqual(formatFleetView('quarantine', FLEET, false), []);
  const quarantined = [{segments: ['a', 'b'], crashes: 3, durationMs: 900_000}];
  assert.deepEqual(
    formatFleetView('quarantine', {...FLEET, quarantined}, false),
    ['segments=a,b crashes=3 duration_ms=900000'],
  );
});

test('a view can be printed as JSON, and no view contains an API key', () => {
  const views = ['routes', 'servers', 'rollouts', 'members'] as const;
  for (const view of views) {
    const lines = formatFleetView(view, FLEET, true);
    for (const line of lines) assert.equal(typeof JSON.parse(line), 'object');
    assert.doesNotMatch(lines.join('\n'), /secret-key/);
  }
});

test('evacuated data centres are listed with the number of their servers', () => {
  assert.deepEqual(formatFleetView('evacuations', FLEET, false), []);
  const evacuated = ['a', 'b'];
  assert.deepEqual(
    formatFleetView('evacuations', {...FLEET, evacuated}, false),
    ['data_centre=a servers=1', 'data_centre=b servers=0'],
  );
});

test('limits are listed by server, with their age', () => {
  assert.deepEqual(formatFleetView('limits', FLEET, false), [
    'server=i-1 started_at=17 per_second=2.5 age_ms=120',
    'server=i-2 started_at=18 per_second=none age_ms=900',
  ]);
});
