import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';
import * as purify from 'purify-ts';
import * as placementFixture from './placement-fixture.js';
import * as placementLoad from './placement-load.js';
import * as runFixture from './run-fixture.js';

const UPSTREAMS = ['u-1', 'u-2', 'u-3', 'u-4'];

const startInstance = async () =>
  placementLoad.getOnlyInstance(
    await placementLoad.startPlacementLoad({
      instances: 1,
      upstreams: UPSTREAMS,
      answer: () => undefined,
    }),
  );

describe('a send that reached no upstream', () => {
  it('takes no repeat from the budget when the request is sent again', async () => {
    // Guards against requests refused for the budget while upstreams have room.
    const instance = await startInstance();
    const first = placementFixture.createPlacementRequest(instance, 'r');
    const place = (sends: number, isRepeat: boolean) =>
      instance.get('placement').place({
        ...first,
        history: {...first.history, sends, isCounted: sends > 0, isRepeat},
      });
    while (place(1, true).isRight()) {
      // Spends the repeat budget.
    }
    chai.expect(place(1, true).isLeft()).equal(true);
    chai.expect(place(1, false).isRight()).equal(true);
    chai.expect(place(1, true).isLeft(), 'it adds no repeat').equal(true);
  });

  const failures: readonly {
    readonly failure: gateway.CallFailure;
    readonly isRepeat: boolean;
  }[] = [
    {failure: {ran: 'not_run', reason: 'unreachable'}, isRepeat: false},
    {failure: {ran: 'not_run', reason: 'refused'}, isRepeat: true},
    {failure: {ran: 'unknown', reason: 'broken'}, isRepeat: true},
  ];

  failures.forEach(({failure, isRepeat}) => {
    it(`is told from one that arrived: ${failure.reason}`, async () => {
      const instance = await startInstance();
      const {request} = placementFixture.createPlacementRequest(instance, 'r');
      const placed: gateway.PlacementRequest[] = [];
      const {signal} = new AbortController();
      const place: gateway.PlaceAttempt = toPlace => {
        placed.push(toPlace);
        return placed.length > 2
          ? purify.Left({reason: 'no_upstream', waitMs: undefined, inputs: {}})
          : instance.get('placement').place(toPlace);
      };
      const run = new gateway.BufferedRun(
        runFixture.createRunDependencies(
          instance,
          () => Promise.resolve(purify.Left(failure)),
          place,
        ),
        {
          request,
          log: runFixture.NO_LOG,
          signal,
          isAwaited: () => Promise.resolve(!signal.aborted),
        },
      );
      await run.run();
      chai.expect(placed[1]?.history.sends).equal(1);
      chai.expect(placed[1]?.history.isRepeat).equal(isRepeat);
    });
  });
});
