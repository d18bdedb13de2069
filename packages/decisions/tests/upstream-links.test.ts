import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const SERVICE = 'svc';
const UPSTREAMS = ['a', 'b', 'c', 'd'];

interface Setup {
  readonly links: decisions.UpstreamLinks;
  readonly wait: (ms: number) => void;
  /** Records failures of upstreams, and checks them if that is due. */
  readonly fail: (
    ids: readonly string[],
    results: Readonly<Record<string, decisions.LinkResult>>,
  ) => void;
  /** Changes so far. */
  readonly changes: string[];
}

const setUp = (): Setup => {
  let nowMs = 10_000;
  const changes: string[] = [];
  const links = new decisions.UpstreamLinks({
    now: () => nowMs,
    onLost: (service, failed) =>
      changes.push(`lost ${service} ${failed.join()}`),
    onRegained: (service, awayMs) =>
      changes.push(`regained ${service} ${awayMs}`),
  });
  return {
    links,
    changes,
    wait: ms => {
      nowMs += ms;
    },
    fail: (ids, results) => {
      ids.forEach(id => {
        links.recordFailure(SERVICE, id);
      });
      if (links.isCheckDue(SERVICE, UPSTREAMS.length)) {
        links.beginCheck(SERVICE);
        links.endCheck(SERVICE, new Map(Object.entries(results)));
      }
    },
  };
};

describe('UpstreamLinks', () => {
  it('takes the links for lost when several upstreams fail and none answers a check', () => {
    const {links, fail, changes} = setUp();
    fail(['a', 'b'], {c: 'failed', d: 'silent'});
    chai.expect(links.isLost(SERVICE)).equal(true);
    chai.expect(links.lostServices).eql([SERVICE]);
    chai.expect(changes).eql(['lost svc a,b']);
  });

  const kept: readonly {
    readonly name: string;
    readonly run: (setup: Setup) => void;
  }[] = [
    {
      name: 'one upstream that fails again and again',
      run: ({fail, wait}) => {
        for (let i = 0; i < 10; i++) {
          fail(['a'], {c: 'failed'});
          wait(500);
        }
      },
    },
    {
      name: 'upstreams that crash together while another answers the check',
      run: ({fail}) => {
        fail(['a', 'b', 'c'], {c: 'failed', d: 'answered'});
      },
    },
    {
      name: 'two failures with an answer over a new connection in between',
      run: ({fail, links}) => {
        fail(['a'], {});
        links.recordAnswer(SERVICE, 'c', true);
        fail(['b'], {c: 'failed'});
      },
    },
    {
      name: 'two failures that lie far apart',
      run: ({fail, wait}) => {
        fail(['a'], {});
        wait(3_000);
        fail(['b'], {c: 'failed'});
      },
    },
    {
      name: 'busy upstreams that let the check wait',
      run: ({fail, links}) => {
        links.recordAnswer(SERVICE, 'c', false);
        fail(['a', 'b'], {c: 'silent', d: 'silent'});
      },
    },
    {
      name: 'slow upstreams while others of the service answer',
      run: ({links, fail, wait}) => {
        links.recordAnswer(SERVICE, 'c', false);
        wait(900);
        links.recordSilence(SERVICE, 'a', 1_000);
        links.recordSilence(SERVICE, 'b', 1_000);
        fail([], {c: 'failed'});
      },
    },
    {
      name: 'an answer during the check',
      run: ({links}) => {
        links.recordFailure(SERVICE, 'a');
        links.recordFailure(SERVICE, 'b');
        links.beginCheck(SERVICE);
        links.recordAnswer(SERVICE, 'd', true);
        links.endCheck(SERVICE, new Map([['c', 'failed']]));
      },
    },
  ];

  kept.forEach(({name, run}) => {
    it(`keeps the links with ${name}`, () => {
      // Guards against a loss of links that is taken from the fault of upstreams.
      const setup = setUp();
      run(setup);
      chai.expect(setup.links.isLost(SERVICE)).equal(false);
      chai.expect(setup.changes).eql([]);
    });
  });

  it('takes the links for lost when nothing answers for long', () => {
    const {links, fail, wait} = setUp();
    links.recordAnswer(SERVICE, 'c', true);
    wait(1_100);
    links.recordSilence(SERVICE, 'a', 1_000);
    links.recordSilence(SERVICE, 'b', 1_000);
    fail([], {c: 'silent', d: 'silent'});
    chai.expect(links.isLost(SERVICE)).equal(true);
  });

  it('takes the links for lost although open connections answer', () => {
    // Guards against an instance on which only new connections fail.
    const {links, fail} = setUp();
    links.recordAnswer(SERVICE, 'c', false);
    fail(['a', 'b'], {c: 'failed', d: 'failed'});
    chai.expect(links.isLost(SERVICE)).equal(true);
  });

  it('checks lost links from time to time, and regains them with an answer', () => {
    const {links, fail, wait, changes} = setUp();
    fail(['a', 'b'], {c: 'failed'});
    chai.expect(links.isCheckDue(SERVICE, UPSTREAMS.length)).equal(false);
    wait(500);
    chai.expect(links.isCheckDue(SERVICE, UPSTREAMS.length)).equal(true);
    links.beginCheck(SERVICE);
    chai.expect(links.isCheckDue(SERVICE, UPSTREAMS.length)).equal(false);
    links.endCheck(SERVICE, new Map([['d', 'answered']]));
    chai.expect(changes.at(-1)).equal('regained svc 500');
    chai.expect(links.isLost(SERVICE)).equal(false);
  });

  it('suspects the only upstream of a service after one failure', () => {
    const {links} = setUp();
    links.recordFailure(SERVICE, 'a');
    chai.expect(links.isCheckDue(SERVICE, 1)).equal(true);
    chai.expect(links.isCheckDue(SERVICE, 2)).equal(false);
  });
});
