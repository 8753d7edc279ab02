import type {
  ExplainedOutcome,
  ExplainedServer,
  RequestExplanation,
} from '@sycamorehead/fleet';

type Row = Readonly<Record<string, string | number | undefined>>;

const COLUMNS = [
  'server',
  'data_centre',
  'version',
  'verdict',
  'score',
  'in_flight',
  'slots',
  'pending_ms',
  'why',
] as const;

/**
 * Formats an explanation: three lines on the request and its outcome, and a table of servers.
 *
 * @example
 * ```ts
 * for (const line of formatExplanation(explanation)) console.log(line);
 * ```
 * @internal
 */
export function formatExplanation(explanation: RequestExplanation): string[] {
  const {entry, dataCentre, configuration, route, service} = explanation;
  const {customer, priority, model, variant, requestId} = explanation;
  const {ruledOut, usable, drawn, unlisted, waiting} = explanation;
  const share = explanation.refusedShare;
  return [
    formatRow({
      entry,
      data_centre: dataCentre,
      ready: explanation.isReady ? undefined : 'no',
      configuration,
      request: requestId,
      route,
      service,
      customer,
      priority,
      model,
      variant,
      deadline_ms: explanation.deadlineMs,
      refused_share: share > 0 ? share.toFixed(2) : undefined,
    }),
    formatRow(describeOutcome(explanation.outcome)),
    formatRow({usable, compared: drawn, waiting, ...ruledOut, unlisted}),
    ...formatTable(explanation.servers.map(describeServer)),
  ];
}

function describeOutcome(outcome: ExplainedOutcome): Row {
  switch (outcome.type) {
    case 'sent':
      return {
        outcome: outcome.isCertain ? 'sent' : 'sent_by_chance',
        server: outcome.server,
      };
    case 'waits':
      return {
        outcome: 'waits',
        reason: outcome.reason,
        ahead: outcome.ahead,
        expected_ms:
          outcome.expectedMs === undefined
            ? 'unknown'
            : Math.round(outcome.expectedMs),
        refused_after_ms: outcome.abandonMs,
      };
    case 'refused': {
      const {kind, ran, retryAfterMs, message} = outcome.error;
      return {
        outcome: 'refused',
        kind,
        ran,
        retry_after_ms: retryAfterMs && Math.round(retryAfterMs),
        message: JSON.stringify(message),
      };
    }
  }
}

function describeServer(server: ExplainedServer): Row {
  const {score, obstacle, terms} = server;
  const parts = (terms ? Object.entries(terms) : [])
    .filter(([, value]) => value >= 0.05)
    .map(([name, value]) => `${name}=${value.toFixed(1)}`);
  const details = formatRow({
    room_tokens: server.roomTokens,
    kept_tokens: server.keptTokens || undefined,
    limit_per_second: server.limitPerSecond,
    cold: server.isCold ? 'yes' : undefined,
    ejected_ms: server.ejectedMs,
    pause_ms: server.pauseMs,
  });
  return {
    server: server.server,
    data_centre: server.dataCentre,
    version: server.version,
    verdict: obstacle ?? 'usable',
    score: score?.toFixed(1) ?? '-',
    in_flight: server.inFlight + server.othersInFlight,
    slots: server.slots,
    pending_ms: server.pendingMs,
    why: [...parts, details].filter(Boolean).join(' '),
  };
}

function formatRow(row: Row): string {
  return Object.entries(row)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}

/** Formats rows in columns that are as wide as their widest value. */
function formatTable(rows: readonly Row[]): string[] {
  if (rows.length === 0) return [];
  const texts = [
    [...COLUMNS],
    ...rows.map(row => COLUMNS.map(column => String(row[column] ?? ''))),
  ];
  const widths = COLUMNS.map((_, index) =>
    Math.max(...texts.map(cells => cells[index]?.length ?? 0)),
  );
  return texts.map(cells =>
    cells
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
