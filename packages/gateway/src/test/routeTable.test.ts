import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildConfiguration, buildRoute} from './GatewayHarness.js';
import {RouteTable} from '../lib/RouteTable.js';

const MANY_ROUTES = 8_000;
/** How much longer a table may take to build that has four times as many routes. */
const MAX_GROWTH = 12;
const ROUNDS = 5;

function buildTable(prefixes: readonly string[]): RouteTable {
  const routes = prefixes.map((pathPrefix, index) =>
    buildRoute({name: `r${index}`, pathPrefix}),
  );
  return new RouteTable(buildConfiguration(routes));
}

/** Measures the shortest time in which a table of a number of routes is built and used once. */
function measureBuild(count: number): number {
  const prefixes = Array.from(
    {length: count},
    (_, index) => `/shops/${index % 90}/${index}/`,
  );
  const times = Array.from({length: ROUNDS}, () => {
    const startedAt = performance.now();
    assert.ok(buildTable(prefixes).findRoute('shop.example', '/shops/1/1/a'));
    return performance.now() - startedAt;
  });
  return Math.min(...times);
}

test('the route with the longest prefix that begins the path is found', () => {
  const table = buildTable(['/a/', '/', '/a/b/', '/a/b/c/', '/ab/', '/a/b/']);
  const find = (path: string) => table.findRoute('shop.example', path)?.name;
  assert.equal(find('/a/x'), 'r0');
  assert.equal(find('/'), 'r1');
  assert.equal(find('/a/b/x'), 'r2');
  assert.equal(find('/a/b/c/d/e'), 'r3');
  assert.equal(find('/abc'), 'r1');
  assert.equal(find('/ab/c'), 'r4');
  assert.equal(find('x'), undefined);
  assert.equal(table.findRoute('other.example', '/a/'), undefined);
});

// Guards against a configuration of thousands of routes that stops an entry for seconds.
test('the time to build a table grows in proportion to the number of routes', () => {
  const growth = measureBuild(MANY_ROUTES) / measureBuild(MANY_ROUTES / 4);
  assert.ok(growth < MAX_GROWTH, `${growth} times as long`);
});
