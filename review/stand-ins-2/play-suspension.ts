/**
 * A machine is suspended for some seconds. Meanwhile an engine that streams
 * without a length crashes between two events, and another start takes its place.
 */
import type * as runCase from './run-case.js';
import * as deployment from './deployment.js';

const ENGINES = 3;

/** Streams that are under way. */
const DRAFTS = 12;

/** Events of a whole stream. */
const EVENTS = 40;

/** Streams end with their channel. */
const BEHAVIOUR = {unframed: true};

/** Time for which the deployment runs before the load, in milliseconds. */
const SETTLE_MS = 3_500;

/** Time after which streams are under way, in milliseconds. */
const UNDER_WAY_MS = 700;

/** Times of the disruption, in milliseconds. */
const CRASH_AFTER_MS = 150;
const BACK_AFTER_MS = 2_000;
const RESUMED_AFTER_MS = 200;
/** The runner's first ping comes one interval after its start. */
const HEARTBEAT_MS = 1_200;

/** The runner that is started where one has crashed. */
export interface Successor {
  /** Its id, given that of the one that crashed. */
  readonly nameAfter: (id: string) => string;
  readonly behaviour: object;
}

/** Plays the suspension with a crash and a successor. */
export const playSuspension = async (
  system: deployment.Deployment,
  hasTrouble: boolean,
  {nameAfter, behaviour}: Successor,
): Promise<runCase.Finding | undefined> => {
  await system.startStore();
  const runners: deployment.Runner[] = [];
  for (let i = 1; i <= ENGINES; i++) {
    const id = `i-pool-${i}`;
    runners.push(await system.startRunner(id, 'amaranth-pool', BEHAVIOUR));
  }
  if (!(await system.startGateway())) {
    return undefined;
  }
  await deployment.sleep(SETTLE_MS);
  for (let i = 1; i <= DRAFTS; i++) {
    system.send(`/draft/${i}`, 25_000);
  }
  await deployment.sleep(UNDER_WAY_MS);
  const [crashing] = runners;
  if (hasTrouble && crashing) {
    system.gateway?.kill('SIGSTOP');
    system.record({event: 'suspended'});
    await deployment.sleep(CRASH_AFTER_MS);
    crashing.process.kill('SIGKILL');
    await deployment.sleep(BACK_AFTER_MS);
    const successor = await system.startSuccessor(
      crashing,
      nameAfter(crashing.id),
      {...BEHAVIOUR, ...behaviour},
    );
    setTimeout(() => {
      void system.register(successor);
    }, HEARTBEAT_MS);
    await deployment.sleep(RESUMED_AFTER_MS);
    system.record({event: 'resumed'});
    system.gateway?.kill('SIGCONT');
  }
  await deployment.sleep(10_000);
  const ended = system.sent.filter(({isComplete}) => isComplete);
  const short = ended
    .map(({id, body}) => ({id, events: countEvents(body)}))
    .filter(({events}) => events !== EVENTS);
  return {
    isBroken: short.length > 0,
    details: {drafts: system.sent.length, complete: ended.length, short},
  };
};

const countEvents = (body: string): number =>
  body.match(/^id: \d+$/gm)?.length ?? 0;
