import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const WINDOW_MS = 10_000;

const sends = (requests: number, repeats: number): decisions.SendCounts => ({
  requests,
  repeats,
});

const expectClose = (
  found: decisions.SendCounts,
  expected: decisions.SendCounts,
): void => {
  chai.expect(found.requests).approximately(expected.requests, 1e-9);
  chai.expect(found.repeats).approximately(expected.repeats, 1e-9);
};

describe('SendWindow', () => {
  it('counts what lies within the window, the oldest slot in part', () => {
    const window = new decisions.SendWindow(WINDOW_MS);
    window.add(sends(4, 2), 500);
    window.add(sends(1, 0), 9_500);
    chai.expect(window.count(9_900)).eql(sends(5, 2));
    chai.expect(window.count(10_500)).eql(sends(3, 1));
    chai.expect(window.count(11_500)).eql(sends(1, 0));
    chai.expect(window.count(30_000)).eql(sends(0, 0));
  });

  it('counts as much of it as lies after a time', () => {
    const window = new decisions.SendWindow(WINDOW_MS);
    window.add(sends(4, 2), 500);
    window.add(sends(1, 1), 5_500);
    chai.expect(window.count(9_000, 5_000)).eql(sends(1, 1));
  });

  it('hands on what it holds with its age', () => {
    const first = new decisions.SendWindow(WINDOW_MS);
    first.add(sends(4, 2), 1_500);
    first.add(sends(1, 1), 8_500);
    const second = new decisions.SendWindow(WINDOW_MS);
    const span = {afterMs: -Infinity, beforeMs: Infinity};
    second.addList(first.list(9_000), 9_000, span);
    expectClose(second.count(9_900), sends(5, 3));
    expectClose(second.count(12_900), sends(1, 1));
  });

  it('leaves out of a list what lies outside a span', () => {
    const first = new decisions.SendWindow(WINDOW_MS);
    first.add(sends(4, 2), 1_500);
    first.add(sends(1, 1), 8_500);
    const second = new decisions.SendWindow(WINDOW_MS);
    second.addList(first.list(9_500), 9_500, {afterMs: 5_000, beforeMs: 9_500});
    expectClose(second.count(9_900), sends(1, 1));
  });

  it('is corrected to what is known, by its oldest sends', () => {
    const window = new decisions.SendWindow(WINDOW_MS);
    window.add(sends(4, 2), 1_500);
    window.add(sends(3, 3), 8_500);
    window.correct(sends(5, 9), 9_500, -Infinity);
    chai.expect(window.count(9_500)).eql(sends(5, 9));
    chai.expect(window.count(12_900)).eql(sends(3, 7));
  });

  it('is corrected for the known part of the window alone', () => {
    const window = new decisions.SendWindow(WINDOW_MS);
    window.add(sends(4, 2), 1_500);
    window.add(sends(3, 3), 8_500);
    window.correct(sends(2, 5), 9_500, 5_000);
    chai.expect(window.count(9_500)).eql(sends(6, 7));
  });

  it('counts what was sent over some time as spread over it', () => {
    // Guards against sends that are told late and count for too long.
    const window = new decisions.SendWindow(WINDOW_MS);
    window.addSpread(sends(10, 5), {afterMs: 5_000, beforeMs: 10_000});
    chai.expect(window.count(10_000)).eql(sends(10, 5));
    chai.expect(window.count(17_500).requests).approximately(5, 1e-9);
    chai.expect(window.count(20_000)).eql(sends(0, 0));
  });

  it('sums its sends by their age', () => {
    const window = new decisions.SendWindow(WINDOW_MS);
    window.add(sends(4, 2), 1_500);
    window.add(sends(1, 1), 8_500);
    const repeats = window.sumByAge(9_000).map(found => found.repeats);
    chai.expect(repeats).eql([1, 1, 1, 1, 1, 1, 1, 3, 3, 3]);
  });
});
