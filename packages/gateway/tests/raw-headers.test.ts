import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';

describe('keepEndToEnd', () => {
  const cases: readonly {
    readonly name: string;
    readonly given: readonly string[];
    readonly dropped: readonly string[];
    readonly kept: readonly string[];
  }[] = [
    {
      name: 'keeps order, spelling and repeated headers',
      given: ['X-A', '1', 'x-b', '2', 'X-A', '3'],
      dropped: [],
      kept: ['X-A', '1', 'x-b', '2', 'X-A', '3'],
    },
    {
      name: 'drops hop-by-hop headers',
      given: ['Connection', 'close', 'Keep-Alive', '5', 'TE', 'x', 'X-A', '1'],
      dropped: [],
      kept: ['X-A', '1'],
    },
    {
      name: 'drops headers that the Connection header names',
      given: ['Connection', 'X-Hop, close', 'X-Hop', '1', 'X-A', '1'],
      dropped: [],
      kept: ['X-A', '1'],
    },
    {
      name: 'drops headers on the given list',
      given: ['X-Own', '1', 'X-A', '1'],
      dropped: ['x-own'],
      kept: ['X-A', '1'],
    },
  ];

  cases.forEach(({name, given, dropped, kept}) => {
    it(name, () => {
      const found = gateway.keepEndToEnd(given, new Set(dropped));
      chai.expect(found).eql(kept);
    });
  });
});
