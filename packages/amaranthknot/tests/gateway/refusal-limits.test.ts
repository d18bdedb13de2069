import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';

const INSTANCES = 3;
const UPSTREAMS = 3;
const SLOTS = 8;

/** Time that an upstream takes for a request, in milliseconds. */
const WORK_MS = 200;

/** Refusals a second that an upstream names, above which it fails. */
const MAX_REFUSALS = 3;

/** Time for which an upstream is down after that, in milliseconds. */
const DOWN_MS = 2_000;

/** Requests a second that all upstreams carry together. */
const CAPACITY_PER_S = (UPSTREAMS * SLOTS * 1_000) / WORK_MS;

/** Time after the first notice from which it must be kept, in milliseconds. */
const {stabilityMs: STABILITY_MS} = fixture.BOUNDS.change;

const RUSH_MS = 6_000;

/** Failures of upstreams that operators allow in one such time. */
const ALLOWED_FAILURES = 2 + 0.1 * UPSTREAMS;

const REFUSAL_LIMIT = 'Server-Brittle';

/** An upstream without a queue that fails when it has to refuse too much. */
class FragileUpstream {
  failures = 0;
  /** Whether it fails; before, it only names its limit. */
  isFragile = false;
  private inProgress = 0;
  private readonly refusedAtMs: number[] = [];
  private downUntilMs = -Infinity;
  readonly server = new fakes.ScriptedUpstream(exchange => {
    this.answer(exchange);
  });

  private answer({request, socket}: fakes.UpstreamExchange): void {
    const now = ports.systemClock.now();
    if (now < this.downUntilMs) {
      socket.resetAndDestroy();
      return;
    }
    const headers = {[REFUSAL_LIMIT]: String(MAX_REFUSALS)};
    if (this.inProgress >= SLOTS) {
      socket.write(
        fakes.formatAnswer(request, '', {
          status: 503,
          headers: {...headers, 'X-Not-Executed': '1'},
        }),
      );
      this.recordRefusal(now);
      return;
    }
    this.inProgress++;
    setTimeout(() => {
      this.inProgress--;
      if (ports.systemClock.now() >= this.downUntilMs) {
        socket.write(fakes.formatAnswer(request, 'whole', {headers}));
      }
    }, WORK_MS);
  }

  private recordRefusal(now: number): void {
    this.refusedAtMs.push(now);
    const recent = this.refusedAtMs.filter(atMs => atMs > now - 1_000);
    if (this.isFragile && recent.length > MAX_REFUSALS) {
      this.failures++;
      this.downUntilMs = now + DOWN_MS;
      this.refusedAtMs.length = 0;
    }
  }
}

describe('upstreams that fail when they refuse too many requests', () => {
  it('stay up while callers ask for half more than they carry', async () => {
    // Guards against instances that together make a short service fail.
    const gateway = await fixture.startGateway(INSTANCES);
    const upstreams = Array.from(
      {length: UPSTREAMS},
      () => new FragileUpstream(),
    );
    try {
      for (const [index, {server}] of upstreams.entries()) {
        await server.start();
        await gateway.register(`u-${index}`, server, {slots: SLOTS});
      }
      const load = async (
        perSecond: number,
        forMs: number,
      ): Promise<number> => {
        const answers: Promise<boolean>[] = [];
        const end = ports.systemClock.now() + forMs;
        while (ports.systemClock.now() < end) {
          const instance = answers.length % INSTANCES;
          const call = {path: fixture.PATHS.read};
          answers.push(
            gateway.call(call, instance).then(
              ({status}) => status === 200,
              () => false,
            ),
          );
          await ports.systemClock.sleep(1_000 / perSecond);
        }
        const served = await Promise.all(answers);
        return served.filter(Boolean).length;
      };
      await load(0.5 * CAPACITY_PER_S, STABILITY_MS);
      upstreams.forEach(upstream => {
        upstream.isFragile = true;
      });
      const served = await load(1.5 * CAPACITY_PER_S, RUSH_MS);
      const failures = upstreams.reduce(
        (sum, upstream) => sum + upstream.failures,
        0,
      );
      chai.expect(failures).most(ALLOWED_FAILURES);
      chai.expect(served).least(0.5 * CAPACITY_PER_S * (RUSH_MS / 1_000));
    } finally {
      await gateway.stop();
      await Promise.all(upstreams.map(({server}) => server.stop()));
    }
  });
});
