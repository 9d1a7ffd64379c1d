import { describe, it } from 'node:test';
import { expect } from 'earl';
import { AnswerMemory } from './AnswerMemory.ts';

const LIMIT = 100;

const start = () => {
  const memory = new AnswerMemory(LIMIT);
  const yielded: string[] = [];
  const open = (source: string, name: string) => memory.open(source, () => yielded.push(name));
  return { memory, yielded, open };
};

describe('AnswerMemory', () => {
  // LOST: each answer had a bound, but all of a process together had none, so that one endpoint could end it.
  it('has the source that holds most yield its largest answer, not the answer that comes next', () => {
    const { memory, yielded, open } = start();
    open('greedy', 'greedy 1').resize(30);
    open('greedy', 'greedy 2').resize(40);
    const sound = open('sound', 'sound');
    sound.resize(31);
    expect(yielded).toEqual(['greedy 2']);
    expect(memory.bytes).toEqual(61);
    sound.resize(35);
    expect(yielded).toEqual(['greedy 2']);
  });

  it('has as many answers yield as are needed', () => {
    const { memory, yielded, open } = start();
    ['a', 'b', 'c'].forEach((name) => open('greedy', name).resize(30));
    open('other', 'other').resize(80);
    expect([yielded, memory.bytes]).toEqual([['a', 'other'], 60]);
  });

  it('counts nothing of an answer that was released, or that has yielded', () => {
    const { memory, yielded, open } = start();
    const answer = open('a', 'a');
    answer.resize(60);
    answer.release();
    answer.release();
    expect(memory.bytes).toEqual(0);
    const large = open('a', 'large');
    large.resize(101);
    large.release();
    expect([yielded, memory.bytes]).toEqual([['large'], 0]);
  });
});
