/** Sends placement requests at a rate to the instances of a virtual fleet. */
import * as fakes from '@amaranthknot/fakes';
import type * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as placementFixture from './placement-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet whose instances start together converges, in ms. */
const SETTLE_MS = 6_000;

/** Step of the load, in milliseconds. */
const STEP_MS = 10;

/** What is under load. */
export interface PlacementLoadOptions {
  readonly instances: number;
  /** Ids of the registered upstreams. */
  readonly upstreams: readonly string[];
  /** Answers a request that was placed, and settles it. */
  readonly answer: (sent: SentRequest) => void;
}

/** A request that was sent to an upstream. */
export interface SentRequest {
  readonly instance: virtualFleet.VirtualInstance;
  readonly placed: gateway.PlacedAttempt;
  /** Sends it once more, to an upstream that it has not been sent to. */
  readonly repeat: () => void;
}

/** A virtual fleet, and load for it. */
export interface PlacementLoad extends virtualFleet.VirtualFleet {
  /** Refusals of the requests that could not be placed so far. */
  readonly refusals: readonly gateway.PlacementRefusal[];
  /** Sends requests at a rate for `forMs`, each to a random instance. */
  readonly load: (perSecond: number, forMs: number) => Promise<void>;
}

/** Time for which an entry is gone that lapses and returns, in ms. */
const LAPSE_MS = 600;

/** Removes the entry of an upstream, and registers it again as it was. */
export const lapseAndReturn = async (
  {store, clock}: virtualFleet.VirtualFleet,
  id: string,
): Promise<void> => {
  const kind = platform.STORE_KINDS.upstreams;
  const lapse = async (): Promise<void> => {
    const entry = (await store.get(kind, id)).unsafeCoerce();
    await store.delete(kind, id, entry.version);
    await clock.sleep(LAPSE_MS);
    await store.create(kind, id, entry.value);
  };
  const returned = lapse();
  await clock.advance(2 * LAPSE_MS);
  await returned;
};

/** The only instance of a fleet; throws if there is another number. */
export const getOnlyInstance = ({
  live,
}: virtualFleet.VirtualFleet): virtualFleet.VirtualInstance => {
  const [instance, ...others] = live();
  if (!instance || others.length > 0) {
    throw new Error(`expected one live instance, got ${live().length}`);
  }
  return instance;
};

/** Starts a fleet and registers the upstreams. */
export const startPlacementLoad = async (
  options: PlacementLoadOptions,
): Promise<PlacementLoad> => {
  const {instances, upstreams, answer} = options;
  const fleet = await virtualFleet.startVirtualFleet({instances, zones: 3});
  const {clock, store, live} = fleet;
  const registered = upstreams.map((name, index) =>
    store.create(
      platform.STORE_KINDS.upstreams,
      name,
      fixture.createEntry(`192.0.2.${index}:80`),
    ),
  );
  await clock.advance(SETTLE_MS);
  await Promise.all(registered);
  const random = fakes.createRandom(instances);
  const refusals: gateway.PlacementRefusal[] = [];
  let sent = 0;

  const send = (
    instance: virtualFleet.VirtualInstance,
    request: gateway.PlacementRequest,
  ): void => {
    instance
      .get('placement')
      .place(request)
      .caseOf({
        Left: refusal => {
          refusals.push(refusal);
        },
        Right: placed => {
          const excluded = new Set([...request.excluded, placed.upstream.id]);
          const repeat = () => {
            const sends = request.history.sends + 1;
            const history = {...request.history, sends, isRepeat: true};
            send(instance, {...request, purpose: 'retry', excluded, history});
          };
          answer({instance, placed, repeat});
        },
      });
  };
  const sendOne = (): void => {
    const running = live();
    const instance = running[Math.floor(random() * running.length)];
    if (instance) {
      const id = `request-${++sent}`;
      send(instance, placementFixture.createPlacementRequest(instance, id));
    }
  };
  return {
    ...fleet,
    refusals,
    load: async (perSecond, forMs) => {
      for (let passedMs = 0; passedMs < forMs; passedMs += STEP_MS) {
        const due = (perSecond * STEP_MS) / 1_000;
        const count = Math.floor(due) + (random() < due % 1 ? 1 : 0);
        Array.from({length: count}, sendOne);
        await clock.advance(STEP_MS);
      }
    },
  };
};
