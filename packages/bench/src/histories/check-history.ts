/** Checks recorded histories of claims and bills for broken guarantees. */
import type * as histories from './history.js';

type EventOf<T extends histories.HistoryEvent['type']> = Extract<
  histories.HistoryEvent,
  {type: T}
>;

const select = <T extends histories.HistoryEvent['type']>(
  history: histories.History,
  type: T,
): readonly EventOf<T>[] =>
  history.events.filter((event): event is EventOf<T> => event.type === type);

const countBy = (names: readonly string[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const name of names) {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
};

type Check = (history: histories.History) => readonly histories.Violation[];

/** A non-idempotent request is sent to an upstream at most once. */
const checkSentAtMostOnce: Check = history => {
  const sends = select(history, 'sent').filter(event => !event.idempotent);
  const counts = countBy(sends.map(event => event.identity));
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([identity, count]) => ({
      check: 'sent_at_most_once',
      identity,
      message: `sent ${count} times`,
    }));
};

/** An attempt reported as `not_run` is never sent, neither before nor after. */
const checkNotRunIsTrue: Check = history => {
  const sends = select(history, 'sent');
  const sent = new Set(sends.map(event => event.attempt));
  return select(history, 'told')
    .filter(event => event.told === 'not_run' && sent.has(event.attempt))
    .map(({identity, attempt}) => ({
      check: 'not_run_is_true',
      identity,
      message: `attempt ${attempt} was told not_run and was sent`,
    }));
};

/** An answer is replayed only after the request was sent. */
const checkReplayFollowsAnswer: Check = history => {
  const sent = new Set<string>();
  const violations: histories.Violation[] = [];
  for (const event of history.events) {
    if (event.type === 'sent') {
      sent.add(event.identity);
    }
    const replayed = event.type === 'told' && event.told === 'replayed';
    if (replayed && !sent.has(event.identity)) {
      const message = 'replayed before any run';
      const {identity} = event;
      violations.push({check: 'replay_follows_answer', identity, message});
    }
  }
  return violations;
};

/** Each completely answered request has a bill. */
const checkAnsweredIsBilled: Check = history => {
  const bills = select(history, 'billed');
  const billed = new Set(bills.map(event => event.identity));
  const answered = select(history, 'told')
    .filter(({told}) => told === 'answered' || told === 'replayed')
    .map(event => event.identity);
  return [...new Set(answered)]
    .filter(identity => !billed.has(identity))
    .map(identity => ({
      check: 'answered_is_billed',
      identity,
      message: 'answered and not billed',
    }));
};

/** No request has more than one bill in the object API. */
const checkBilledOnce: Check = history => {
  const bills = select(history, 'billed');
  const counts = countBy(bills.map(event => event.identity));
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([identity, count]) => ({
      check: 'billed_once',
      identity,
      message: `billed ${count} times`,
    }));
};

/** Only requests that were sent to an upstream are billed. */
const checkBilledWasSent: Check = history => {
  const sends = select(history, 'sent');
  const sent = new Set(sends.map(event => event.identity));
  return select(history, 'billed')
    .filter(event => !sent.has(event.identity))
    .map(({identity}) => ({
      check: 'billed_was_sent',
      identity,
      message: 'billed and never sent',
    }));
};

/** A claim whose request was never sent is deleted while its owner is alive. */
const checkVoidIsFreed: Check = history =>
  select(history, 'orphaned')
    .filter(event => event.ownerAlive)
    .map(({identity}) => ({
      check: 'void_is_freed',
      identity,
      message: 'claimed for good by a living instance that sent nothing',
    }));

const CHECKS: readonly Check[] = [
  checkSentAtMostOnce,
  checkNotRunIsTrue,
  checkReplayFollowsAnswer,
  checkAnsweredIsBilled,
  checkBilledOnce,
  checkBilledWasSent,
  checkVoidIsFreed,
];

/** Runs all checks; the result is empty for a correct history. */
export const checkHistory = (
  history: histories.History,
): readonly histories.Violation[] => CHECKS.flatMap(check => check(history));
