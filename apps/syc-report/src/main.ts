import {command, positional, run, string} from 'cmd-ts';
import {request} from 'undici';

/** Sums one counter of a metrics page by its outcome label. */
function sumOutcomes(page: string): Map<string, number> {
  const totals = new Map<string, number>();
  const line = /^sycamorehead_answers_total\{([^}]*)\} (\S+)$/gm;
  for (const [, labels = '', value] of page.matchAll(line)) {
    const outcome = /outcome="([^"]*)"/.exec(labels)?.[1] ?? 'none';
    totals.set(outcome, (totals.get(outcome) ?? 0) + Number(value));
  }
  return totals;
}

const app = command({
  name: 'syc-report',
  description: 'Answers by outcome of one entry',
  args: {
    entry: positional({type: string, displayName: 'entry URL'}),
  },
  handler: async ({entry}) => {
    const {body} = await request(new URL('/metrics', entry));
    for (const [outcome, count] of sumOutcomes(await body.text())) {
      console.log(`outcome=${outcome} answers=${count}`);
    }
  },
});

await run(app, process.argv.slice(2));
