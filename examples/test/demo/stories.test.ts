/** The story of one request: what its caller met, between the events of the processes. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createStories, mergeStory } from '../../src/demo/stories.js';

describe('the stories of callers', () => {
  it('tell each attempt with its time, under its key', () => {
    const stories = createStories(() => Date.UTC(2030, 0, 1, 3, 4, 5, 678));
    stories.note('key-1', 'entry: refused');
    assert.deepEqual(stories.of('key-1'), ['03:04:05.678Z caller | entry: refused']);
    assert.deepEqual(stories.of('key-2'), []);
  });

  it('are bounded for a caller who comes back for long', () => {
    const stories = createStories(() => 0);
    for (let attempt = 0; attempt < 1_000; attempt += 1) stories.note('key', 'refused');
    assert.equal(stories.of('key').length, 100);
  });

  it('stand in order with the events of the processes', () => {
    const attempts = ['03:04:05.100Z caller | a', '03:04:07.000Z caller | c'];
    const events = ['03:04:06.000Z entry | b'];
    const order = mergeStory(attempts, events).map((line) => line.at(-1));
    assert.deepEqual(order, ['a', 'b', 'c']);
  });
});
