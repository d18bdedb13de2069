/**
 * Runs claims and bills on several simulated instances in virtual time, with
 * faults drawn from a seed, and records what happened.
 */
import * as fakes from '@amaranthknot/fakes';
import * as ledger from '@amaranthknot/ledger';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as seededRandom from '@amaranthknot/fakes';
import * as faultPlan from './fault-plan.js';
import type * as histories from './history.js';
import * as serveRequest from './serve-request.js';
import * as simulatedInstance from './simulated-instance.js';
import * as simulatedNetwork from './simulated-network.js';

/** Replaces parts of a run; tests use it to inject faults into the product. */
export interface RunOptions {
  readonly serve?: serveRequest.AttemptHandler;
  /** Wraps the object API as instances see it. */
  readonly wrapStore?: (store: ports.ObjectStore) => ports.ObjectStore;
  readonly wrapPeers?: (
    peers: simulatedInstance.Peers,
  ) => simulatedInstance.Peers;
}

const INSTANCES = 5;
const ZONES = 3;
const REQUESTS = 30;
const RUN_MS = 45_000;
/** Time without faults at the end, in which bills are recovered and written. */
const SETTLE_MS = 120_000;
const IDEMPOTENT_SHARE = 0.3;
const GIVE_UP_RATE = 0.1;
const UPSTREAM_CUT_RATE = 0.1;

class Run {
  private readonly clock = new fakes.VirtualClock();
  private readonly random: () => number;
  private readonly plan: faultPlan.FaultPlan;
  /** Short intervals give many segments, long ones keep bills pending. */
  private readonly flushIntervalMs: number;
  private readonly store: fakes.MemoryObjectStore;
  private readonly peers: simulatedInstance.Peers;
  private readonly instanceStore: ports.ObjectStore;
  private readonly events: histories.HistoryEvent[] = [];
  private readonly silent = new Map<string, number>();
  private readonly cutFromPlatform = new Set<string>();
  private instances: simulatedInstance.SimulatedInstance[] = [];
  private lastAnsweredBy: simulatedInstance.SimulatedInstance | undefined;
  private startedInstances = 0;
  private startedAttempts = 0;
  private outageEndsAtMs = 0;
  private outageLosesAnswers = false;
  private isSettling = false;

  constructor(
    private readonly seed: number,
    private readonly options: RunOptions,
  ) {
    this.random = seededRandom.createRandom(seed);
    this.plan = faultPlan.drawFaultPlan(this.random, RUN_MS);
    this.flushIntervalMs = this.random() < 0.5 ? 2_000 : 20_000;
    this.store = new fakes.MemoryObjectStore({
      clock: this.clock,
      fault: operation => this.drawFault(operation),
      delayMs: () => this.drawDelay(),
    });
    const network = new simulatedNetwork.SimulatedNetwork({
      clock: this.clock,
      random: this.random,
      lossRate: this.plan.rates.messageLoss,
      instances: () => this.instances,
      silentSince: incarnation => this.silent.get(incarnation),
    });
    this.peers = options.wrapPeers?.(network) ?? network;
    this.instanceStore = options.wrapStore?.(this.store) ?? this.store;
  }

  async run(): Promise<histories.History> {
    for (let i = 0; i < INSTANCES; i++) {
      this.startInstance(`zone-${i % ZONES}`);
    }
    this.scheduleRequests();
    for (const fault of this.plan.faults) {
      this.schedule(fault.atMs, () => this.inject(fault));
    }
    await this.clock.advance(RUN_MS);
    this.isSettling = true;
    await this.clock.advance(SETTLE_MS);
    await this.recordBills();
    await this.recordOrphanedClaims();
    const {seed, events} = this;
    return {seed, events, calls: {...this.store.calls}};
  }

  private startInstance(zone: string): void {
    const incarnation = `instance-${this.startedInstances++}`;
    const instance = new simulatedInstance.SimulatedInstance({
      incarnation,
      zone,
      clock: this.clock,
      store: this.createConnection(incarnation),
      random: this.random,
      peers: this.peers,
      flushIntervalMs: this.flushIntervalMs,
    });
    this.instances.push(instance);
    instance.start();
  }

  /** The object API over an instance's own connection, which can be cut. */
  private createConnection(incarnation: string): ports.ObjectStore {
    const store = this.instanceStore;
    const call = async <T>(
      make: () => Promise<ports.StoreResult<T>>,
    ): Promise<ports.StoreResult<T>> => {
      if (!this.cutFromPlatform.has(incarnation)) {
        return make();
      }
      await this.clock.sleep(this.random() * 2_000);
      return purify.Left({code: 'unknown', message: 'no way to the platform'});
    };
    return {
      get: (kind, name) => call(() => store.get(kind, name)),
      list: (kind, prefix) => call(() => store.list(kind, prefix)),
      create: (kind, name, value) =>
        call(() => store.create(kind, name, value)),
      update: (kind, name, value, version) =>
        call(() => store.update(kind, name, value, version)),
      delete: (kind, name, version) =>
        call(() => store.delete(kind, name, version)),
      watch: (kind, after, waitMs, signal) =>
        call(() => store.watch(kind, after, waitMs, signal)),
    };
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

  /** Callers retry later, or on several instances almost at once. */
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
    const attempt = `attempt-${this.startedAttempts++}`;
    const common = {
      identity: request.identity.name,
      attempt,
      instance: instance.incarnation,
    };
    const serve = this.options.serve ?? serveRequest.serveRequest;
    instance.inProgress++;
    const answer = serve(instance, request, {
      isDroppedByAdmission: () => this.random() < GIVE_UP_RATE,
      wallTime: () => this.clock.wallTime(),
      send: () => {
        const {idempotent} = request;
        this.record({type: 'sent', atMs: this.now(), ...common, idempotent});
        return instance.control.guard(this.answer());
      },
    });
    const told = await instance.control.guard(answer);
    instance.inProgress--;
    this.lastAnsweredBy = told === 'answered' ? instance : this.lastAnsweredBy;
    this.record({type: 'told', atMs: this.now(), ...common, told});
  }

  private async answer(): Promise<serveRequest.UpstreamAnswer> {
    await this.clock.sleep(1 + this.random() * 500);
    return this.random() < UPSTREAM_CUT_RATE ? 'cut' : 'answered';
  }

  private inject(fault: faultPlan.PlannedFault): void {
    switch (fault.kind) {
      case 'kill':
        this.kill(fault.wholeZone, fault.afterAnswer);
        return;
      case 'pause':
        this.pause(fault.ms);
        return;
      case 'restart':
        void this.restart();
        return;
      case 'outage':
        this.recordFault(`platform out for ${Math.round(fault.ms)} ms`);
        this.outageEndsAtMs = Math.max(
          this.outageEndsAtMs,
          this.now() + fault.ms,
        );
        this.outageLosesAnswers = fault.losesAnswers;
        return;
      case 'isolation':
        this.isolate(fault);
        return;
    }
  }

  /** Kills one instance, or all instances of its zone. */
  private kill(wholeZone: boolean, afterAnswer: boolean): void {
    const last = this.lastAnsweredBy;
    const victim = afterAnswer && last?.control.alive ? last : this.drawAlive();
    const victims = this.instances.filter(
      instance =>
        instance.control.alive &&
        (instance === victim || (wholeZone && instance.zone === victim?.zone)),
    );
    for (const instance of victims) {
      this.recordFault(`kill ${instance.incarnation} in ${instance.zone}`);
      this.terminate(instance);
    }
  }

  private terminate(instance: simulatedInstance.SimulatedInstance): void {
    instance.control.kill();
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
    this.recordFault(`restart ${instance.incarnation}`);
    await instance.control.guard(instance.leave());
    this.recordFault(`left ${instance.incarnation}`);
    this.terminate(instance);
  }

  private pause(ms: number): void {
    const instance = this.drawAlive();
    if (!instance) {
      return;
    }
    instance.control.pause(ms);
    this.recordFault(`pause ${instance.incarnation} for ${Math.round(ms)} ms`);
    this.markSilent(instance, ms);
  }

  private isolate(
    fault: Extract<faultPlan.PlannedFault, {kind: 'isolation'}>,
  ): void {
    const {ms, alsoFromPlatform, endsInKill} = fault;
    const instance = this.drawAlive();
    if (!instance) {
      return;
    }
    const {incarnation} = instance;
    this.recordFault(`cut ${incarnation} for ${Math.round(ms)} ms`);
    instance.isIsolated = true;
    if (alsoFromPlatform) {
      this.cutFromPlatform.add(incarnation);
    }
    this.schedule(ms, () => {
      if (endsInKill && instance.control.alive) {
        this.recordFault(`kill ${incarnation}, still cut`);
        this.terminate(instance);
      }
      instance.isIsolated = false;
      this.cutFromPlatform.delete(incarnation);
    });
    this.markSilent(instance, ms);
  }

  /** Lets peers see an instance as silent for a time. */
  private markSilent(
    instance: simulatedInstance.SimulatedInstance,
    ms: number,
  ): void {
    const {incarnation, control} = instance;
    this.silent.set(incarnation, this.silent.get(incarnation) ?? this.now());
    this.schedule(ms, () => {
      if (control.alive && !control.isPaused() && !instance.isIsolated) {
        this.silent.delete(incarnation);
      }
    });
  }

  private drawFault(operation: fakes.StoreOperation): fakes.StoreFault {
    if (this.isSettling) {
      return 'none';
    }
    if (this.now() < this.outageEndsAtMs) {
      return this.drawOutageFault();
    }
    const {down, lost, stale} = this.plan.rates;
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

  private drawOutageFault(): fakes.StoreFault {
    if (this.outageLosesAnswers) {
      return 'lost_after';
    }
    return this.random() < 0.7 ? 'down' : 'lost_before';
  }

  /** A slow call takes effect after its caller's timeout. */
  private drawDelay(): number {
    const slow = !this.isSettling && this.random() < this.plan.rates.slow;
    return slow ? 900 + this.random() * 4_000 : 1 + this.random() * 6;
  }

  private async recordBills(): Promise<void> {
    const objects = await this.list(ledger.BILL_KIND);
    for (const object of objects) {
      for (const bill of ledger.readBillSegment(object.value)?.bills ?? []) {
        const {identity, cost} = bill;
        this.record({type: 'billed', identity, cost});
      }
    }
  }

  /** Records the claims that remain although their request was never sent. */
  private async recordOrphanedClaims(): Promise<void> {
    const sent = new Set(
      this.events.flatMap(event =>
        event.type === 'sent' ? [event.identity] : [],
      ),
    );
    const objects = await this.list(ledger.CLAIM_KIND);
    for (const {name, value} of objects.filter(({name}) => !sent.has(name))) {
      const owner = ledger.readClaimRecord(value)?.incarnation ?? '';
      const ownerAlive = this.instances.some(
        instance => instance.incarnation === owner && instance.control.alive,
      );
      this.record({type: 'orphaned', identity: name, ownerAlive});
    }
  }

  private async list(kind: string): Promise<readonly ports.StoredObject[]> {
    const listing = this.store.list(kind);
    await this.clock.advance(1_000);
    return (await listing).map(found => found.objects).orDefault([]);
  }

  private drawAlive(): simulatedInstance.SimulatedInstance | undefined {
    const alive = this.instances.filter(
      instance => instance.control.alive && !instance.isLeaving,
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

  private record(event: histories.HistoryEvent): void {
    this.events.push(event);
  }

  private recordFault(fault: string): void {
    this.record({type: 'fault', atMs: this.now(), fault});
  }
}

/** Runs one history from a seed. Equal seeds give equal histories. */
export const runHistory = (
  seed: number,
  options: RunOptions = {},
): Promise<histories.History> => new Run(seed, options).run();
