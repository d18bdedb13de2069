import * as chai from 'chai';
import type * as gateway from '@amaranthknot/gateway';
import * as placementFixture from './placement-fixture.js';
import * as placementLoad from './placement-load.js';

const SETTLE = {instances: 1, upstreams: ['i-1', 'i-2']};

interface Decided {
  readonly outcome: string;
  readonly inputs: gateway.PlacedAttempt['inputs'];
}

/** A sound upstream, which answers at once. */
const answer = ({placed}: placementLoad.SentRequest): void => {
  placed.settle('answered');
};

const createRepeat = (
  first: gateway.PlacementRequest,
): gateway.PlacementRequest => ({
  ...first,
  purpose: 'retry',
  history: {...first.history, sends: 1, isRepeat: true},
});

describe('a decision on a repeat', () => {
  it('names its purpose and what it depends on, granted or refused', async () => {
    // Guards against repeats of which nobody can say why they were granted.
    const fleet = await placementLoad.startPlacementLoad({...SETTLE, answer});
    const instance = placementLoad.getOnlyInstance(fleet);
    const {get} = instance;
    const first = placementFixture.createPlacementRequest(instance, 'request');
    get('placement').place(first);
    const outcomes = Array.from({length: 100}, () =>
      get('placement')
        .place(createRepeat(first))
        .caseOf<Decided>({
          Left: ({reason, inputs}) => ({outcome: reason, inputs}),
          Right: ({inputs}) => ({outcome: 'placed', inputs}),
        }),
    );
    const [granted] = outcomes;
    chai.expect(granted?.outcome).equal('placed');
    chai
      .expect(granted?.inputs)
      .include({purpose: 'retry', ownRequests: 1, ownRepeats: 0});
    const refused = outcomes.at(-1);
    chai.expect(refused?.outcome).equal('no_budget');
    chai.expect(refused?.inputs).include({purpose: 'retry', ownRequests: 1});
    const count = outcomes.filter(({outcome}) => outcome === 'placed').length;
    chai.expect(refused?.inputs).include({ownRepeats: count});
    const metrics = await get('metrics').format();
    const countOf = (outcome: string): number =>
      [...metrics.matchAll(/^amaranthknot_repeats_total\{(.*)\} (\d+)$/gm)]
        .filter(([, labels]) => labels?.includes(`outcome="${outcome}"`))
        .reduce((sum, [, , value]) => sum + Number(value), 0);
    chai.expect(countOf('granted')).equal(count);
    chai.expect(countOf('refused')).equal(outcomes.length - count);
  });
});
