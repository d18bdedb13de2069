/**
 * Runs claims and bills on several simulated instances in virtual time, with
 * faults drawn from a seed, and records what happened.
 */
import * as fakes from '@amaranthknot/fakes';
import * as ledger from '@amaranthknot/ledger';
import type * as platform from '@amaranthknot/platform';
import * as seededRandom from '../seeded-random.js';
import type * as histories from './history.js';
import * as serveRequest from './serve-request.js';
import * as simulatedInstance from './simulated-instance.js';
import * as simulatedNetwork from './simulated-network.js';

/** What a run uses in place of the product's parts; tests plant faults so. */
export interface RunOptions {
  readonly serve?: serveRequest.Service;
  /** Stands between the instances and the platform. */
  readonly wrapStore?: (store: platform.ObjectStore) => platform.ObjectStore;
  readonly wrapPeers?: (
    peers: simulatedInstance.Peers,
  ) => simulatedInstance.Peers;
}

const INSTANCES = 5;
const ZONES = 3;
const REQUESTS = 24;
const RUN_MS = 40_000;
/** Quiet time at the end in which bills are recovered and written. */
const QUIET_MS = 60_000;
const IDEMPOTENT_SHARE = 0.3;
const GIVE_UP_RATE = 0.1;
const CUT_RATE = 0.1;
/** Kills in one run: copies bear as many while the platform may be out. */
const MAX_KILLS = ledger.DEFAULT_BILL_LIMITS.copyQuorum;

/** Draws rates once a run, so that runs differ in what is common in them. */
const drawRates = (random: () => number) => ({
  lost: random() < 0.5 ? random() * 0.3 : 0,
  stale: random() < 0.5 ? random() * 0.3 : 0,
  down: random() < 0.3 ? random() * 0.2 : 0,
  slow: random() < 0.3 ? random() * 0.1 : 0,
  loss: random() < 0.3 ? random() * 0.1 : 0,
});

class Run {
  private readonly clock = new fakes.VirtualClock();
  private readonly random: () => number;
  private readonly rates: ReturnType<typeof drawRates>;
  private readonly store: fakes.MemoryObjectStore;
  private readonly peers: simulatedInstance.Peers;
  private readonly seenStore: platform.ObjectStore;
  private readonly events: histories.HistoryEvent[] = [];
  private readonly silent = new Map<string, number>();
  private instances: simulatedInstance.SimulatedInstance[] = [];
  private starts = 0;
  private attempts = 0;
  private outUntil = 0;
  private quiet = false;

  constructor(
    private readonly seed: number,
    private readonly options: RunOptions,
  ) {
    this.random = seededRandom.createRandom(seed);
    this.rates = drawRates(this.random);
    this.store = new fakes.MemoryObjectStore({
      clock: this.clock,
      fault: operation => this.drawFault(operation),
      delayMs: () => this.drawDelay(),
    });
    const network = new simulatedNetwork.SimulatedNetwork({
      clock: this.clock,
      random: this.random,
      lossRate: this.rates.loss,
      instances: () => this.instances,
      silentSince: incarnation => this.silent.get(incarnation),
    });
    this.peers = options.wrapPeers?.(network) ?? network;
    this.seenStore = options.wrapStore?.(this.store) ?? this.store;
  }

  async run(): Promise<histories.History> {
    for (let i = 0; i < INSTANCES; i++) {
      this.startInstance(`zone-${i % ZONES}`);
    }
    this.scheduleRequests();
    this.scheduleFaults();
    await this.clock.advance(RUN_MS);
    this.quiet = true;
    await this.clock.advance(QUIET_MS);
    await this.noteBills();
    await this.noteOrphans();
    const {seed, events} = this;
    return {seed, events, calls: {...this.store.calls}};
  }

  private startInstance(zone: string): void {
    const instance = new simulatedInstance.SimulatedInstance({
      incarnation: `instance-${this.starts++}`,
      zone,
      clock: this.clock,
      store: this.seenStore,
      random: this.random,
      peers: this.peers,
    });
    this.instances.push(instance);
    instance.start();
  }

  private scheduleRequests(): void {
    for (let i = 0; i < REQUESTS; i++) {
      const idempotent = this.random() < IDEMPOTENT_SHARE;
      const key = idempotent ? undefined : `key-${i}`;
      const request: serveRequest.CallerRequest = {
        identity: ledger.identifyRequest('workspace', key, `fresh-${i}`),
        fingerprint: `body-${i}`,
        idempotent,
      };
      this.scheduleAttempts(request);
    }
  }

  /** Callers retry after a while, or on several instances at one moment. */
  private scheduleAttempts(request: serveRequest.CallerRequest): void {
    const count = request.idempotent ? 1 : this.draw(4) + 1;
    const spreadMs = this.random() < 0.5 ? 10 : 10_000;
    const start = this.random() * (RUN_MS - 15_000);
    for (let i = 0; i < count; i++) {
      const at = start + (i === 0 ? 0 : this.random() * spreadMs);
      this.schedule(at, () => void this.attempt(request));
    }
  }

  private async attempt(request: serveRequest.CallerRequest): Promise<void> {
    const instance = this.drawAlive();
    if (!instance) {
      return;
    }
    const attempt = `attempt-${this.attempts++}`;
    const common = {
      identity: request.identity.name,
      attempt,
      instance: instance.incarnation,
    };
    const serve = this.options.serve ?? serveRequest.serveRequest;
    const answer = serve(instance, request, {
      isGivenUp: () => this.random() < GIVE_UP_RATE,
      wallTime: () => this.clock.wallTime(),
      send: () => {
        const {idempotent} = request;
        this.note({type: 'sent', atMs: this.now(), ...common, idempotent});
        return instance.lifeline.guard(this.answer());
      },
    });
    instance.inProgress++;
    const told = await instance.lifeline.guard(answer);
    instance.inProgress--;
    this.note({type: 'told', atMs: this.now(), ...common, told});
  }

  private async answer(): Promise<serveRequest.UpstreamAnswer> {
    await this.clock.sleep(1 + this.random() * 500);
    return this.random() < CUT_RATE ? 'cut' : 'answered';
  }

  private scheduleFaults(): void {
    const kills = this.draw(MAX_KILLS + 1);
    // One whole zone at most: two zones lost within seconds in an outage of
    // the platform are past what copies in two zones bear.
    const zones = kills > 0 && this.random() < 0.3 ? 1 : 0;
    this.scheduleSome(zones, () => this.kill(true));
    this.scheduleSome(kills - zones, () => this.kill(false));
    this.scheduleSome(this.draw(3), () => this.pause());
    this.scheduleSome(this.draw(3), () => this.startOutage());
    this.scheduleSome(this.draw(3), () => void this.restart());
  }

  private scheduleSome(count: number, fault: () => void): void {
    for (let i = 0; i < count; i++) {
      this.schedule(this.random() * RUN_MS, fault);
    }
  }

  /** Kills an instance, or with it all others of its zone. */
  private kill(wholeZone: boolean): void {
    const victim = this.drawAlive();
    const victims = this.instances.filter(
      instance =>
        instance.lifeline.alive &&
        (instance === victim || (wholeZone && instance.zone === victim?.zone)),
    );
    for (const instance of victims) {
      this.noteFault(`kill ${instance.incarnation} in ${instance.zone}`);
      this.end(instance);
    }
  }

  private end(instance: simulatedInstance.SimulatedInstance): void {
    instance.lifeline.kill();
    this.silent.set(instance.incarnation, this.now());
    this.schedule(this.random() * 10_000, () =>
      this.startInstance(instance.zone),
    );
  }

  private async restart(): Promise<void> {
    const instance = this.drawAlive();
    if (!instance) {
      return;
    }
    this.noteFault(`restart ${instance.incarnation}`);
    await instance.lifeline.guard(instance.leave());
    this.noteFault(`left ${instance.incarnation}`);
    this.end(instance);
  }

  private pause(): void {
    const instance = this.drawAlive();
    if (!instance) {
      return;
    }
    const ms = this.random() * 12_000;
    instance.lifeline.pause(ms);
    this.noteFault(`pause ${instance.incarnation} for ${Math.round(ms)} ms`);
    const {incarnation} = instance;
    this.silent.set(incarnation, this.silent.get(incarnation) ?? this.now());
    this.schedule(ms, () => {
      if (instance.lifeline.alive && !instance.lifeline.isPaused()) {
        this.silent.delete(incarnation);
      }
    });
  }

  private startOutage(): void {
    const ms = this.random() * 15_000;
    this.outUntil = Math.max(this.outUntil, this.now() + ms);
    this.noteFault(`platform out for ${Math.round(ms)} ms`);
  }

  private drawFault(operation: fakes.StoreOperation): fakes.StoreFault {
    if (this.quiet) {
      return 'none';
    }
    if (this.now() < this.outUntil) {
      return this.random() < 0.7 ? 'down' : 'lost_before';
    }
    const {down, lost, stale} = this.rates;
    const draw = this.random();
    if (draw < down) {
      return 'down';
    }
    if (draw < down + lost) {
      return this.random() < 0.7 ? 'lost_after' : 'lost_before';
    }
    const isRead = operation === 'get' || operation === 'list';
    return isRead && draw < down + lost + stale ? 'stale' : 'none';
  }

  /** A slow call takes effect after its caller's timeout. */
  private drawDelay(): number {
    const slow = !this.quiet && this.random() < this.rates.slow;
    return slow ? 900 + this.random() * 4_000 : 1 + this.random() * 6;
  }

  private async noteBills(): Promise<void> {
    const listing = this.store.list(ledger.BILL_KIND);
    await this.clock.advance(1_000);
    const objects = (await listing).map(found => found.objects).orDefault([]);
    for (const object of objects) {
      for (const bill of ledger.readBillSegment(object.value)?.bills ?? []) {
        const {identity, cost} = bill;
        this.note({type: 'billed', identity, cost});
      }
    }
  }

  /** Claims that stand though their request was never sent. */
  private async noteOrphans(): Promise<void> {
    const sent = new Set(
      this.events.flatMap(event =>
        event.type === 'sent' ? [event.identity] : [],
      ),
    );
    const listing = this.store.list(ledger.CLAIM_KIND);
    await this.clock.advance(1_000);
    const objects = (await listing).map(found => found.objects).orDefault([]);
    for (const {name, value} of objects.filter(({name}) => !sent.has(name))) {
      const owner = ledger.readClaimRecord(value)?.incarnation ?? '';
      const ownerAlive = this.instances.some(
        instance => instance.incarnation === owner && instance.lifeline.alive,
      );
      this.note({type: 'orphaned', identity: name, ownerAlive});
    }
  }

  private drawAlive(): simulatedInstance.SimulatedInstance | undefined {
    const alive = this.instances.filter(
      instance => instance.lifeline.alive && !instance.isLeaving,
    );
    return alive[this.draw(alive.length)];
  }

  private draw(count: number): number {
    return Math.floor(this.random() * count);
  }

  private schedule(afterMs: number, step: () => void): void {
    void this.clock.sleep(afterMs).then(step);
  }

  private now(): number {
    return this.clock.now();
  }

  private note(event: histories.HistoryEvent): void {
    this.events.push(event);
  }

  private noteFault(fault: string): void {
    this.note({type: 'fault', atMs: this.now(), fault});
  }
}

/** Runs one history from a seed. Equal seeds give equal histories. */
export const runHistory = (
  seed: number,
  options: RunOptions = {},
): Promise<histories.History> => new Run(seed, options).run();
