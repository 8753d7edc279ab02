import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EventSplitter} from '../lib/EventSplitter.js';

test('chunks of any size yield the same bytes in complete events', () => {
  const event = fc.record({
    id: fc.option(fc.nat(999), {nil: undefined}),
    data: fc.array(fc.stringMatching(/^[a-z ]{0,12}$/), {maxLength: 3}),
    end: fc.constantFrom('\n', '\r\n'),
  });
  fc.assert(
    fc.property(
      fc.array(event, {maxLength: 8}),
      fc.array(fc.integer({min: 1, max: 9}), {minLength: 1, maxLength: 40}),
      (events, cuts) => {
        const texts = events.map(({id, data, end}) =>
          [
            ...(id === undefined ? [] : [`id: ${id}`]),
            ...data.map(line => `data: ${line}`),
            'event: piece',
            '',
            '',
          ].join(end),
        );
        const stream = Buffer.from(`${texts.join('')}id: 1000\ndata: part`);
        const splitter = new EventSplitter();
        let out = '';
        const ends: number[] = [];
        let at = 0;
        for (let index = 0; at < stream.length; index += 1) {
          const size = cuts[index % cuts.length] ?? 1;
          const completed = splitter.push(stream.subarray(at, at + size));
          at += size;
          if (!completed) continue;
          const before = out.length;
          out += completed.bytes.toString();
          ends.push(...completed.ends.map(end => before + end));
        }
        assert.equal(out, texts.join(''));
        let end = 0;
        assert.deepEqual(
          ends,
          texts.map(text => (end += text.length)),
        );
        assert.equal(splitter.hasPartialEvent, true);
      },
    ),
    {seed: 20_261_203, numRuns: 300},
  );
});

test('an event above the size limit fails its stream', () => {
  const splitter = new EventSplitter();
  assert.throws(() => splitter.push(Buffer.alloc(1_100_000, 'x')));
});

test('the lines of a long event are searched once each, not again with every chunk', context => {
  const splitter = new EventSplitter();
  const chunk = Buffer.from('data: x\n'.repeat(10));
  const search = context.mock.method(Buffer.prototype, 'indexOf');
  for (let count = 0; count < 100; count += 1) splitter.push(chunk);
  assert.ok(search.mock.callCount() <= 100 * (10 + 1));
});

test('a long line in small chunks is not copied or searched again with every chunk', context => {
  const concat = context.mock.method(Buffer, 'concat');
  const copied = context.mock.method(Buffer.prototype, 'copy');
  const search = context.mock.method(Buffer.prototype, 'indexOf');
  const splitter = new EventSplitter();
  const chunk = Buffer.from('data: 0123456789');
  const count = 10_000;
  for (let index = 0; index < count; index += 1) splitter.push(chunk);
  assert.equal(concat.mock.callCount(), 0);
  // One copy a chunk, and one each time that the memory doubles.
  assert.ok(copied.mock.callCount() <= count + 20);
  for (const [index, call] of search.mock.calls.entries()) {
    assert.equal(call.arguments[1], index * chunk.length);
  }
});
