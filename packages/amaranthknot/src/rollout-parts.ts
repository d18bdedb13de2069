/** Wires roll-outs and ratings into one entry instance. */
import * as decisions from '@amaranthknot/decisions';
import * as entry from '@amaranthknot/entry';
import type * as configuration from '@amaranthknot/configuration';
import type * as membership from '@amaranthknot/membership';
import * as protocol from '@amaranthknot/protocol';
import * as rollout from './commands/rollout.js';
import type * as instanceTokens from './instance-tokens.js';
import * as inForce from './operator/in-force.js';

/** Share of answers that is rated. */
const RATING_BUDGET = 0.1;

/** Below it a rating counts as bad. */
const GOOD_RATING = 0.5;

/** Time for one peer's evidence, in milliseconds. */
const EVIDENCE_TIMEOUT_MS = 500;

const listRollouts = (
  get: instanceTokens.Resolve,
): readonly configuration.Rollout[] =>
  get('follower').activeConfiguration()?.document.rollouts ?? [];

const environmentOf = (get: instanceTokens.Resolve): string =>
  get('options').settings.instance.environment;

/** Counts a sign of a version, if a roll-out is about it. */
export const countVersion = (
  get: instanceTokens.Resolve,
  model: string,
  version: string,
  sign: entry.VersionSign,
): void =>
  get('rolloutCounters').count(listRollouts(get), model, version, sign);

/** Version that a roll-out gives a session that has none. */
export const assignVersion = (
  get: instanceTokens.Resolve,
  model: string,
  sessionKey: string,
): string | undefined =>
  get('rolloutShares').assign(
    environmentOf(get),
    listRollouts(get),
    model,
    sessionKey,
  );

/** Hands a rating to what learns from it. */
export const takeRating = (
  get: instanceTokens.Resolve,
  answer: entry.RatedAnswer,
  rating: number,
): void => {
  get('cascades').observeRating({...answer, rating});
  countVersion(get, answer.model, answer.version, {
    rated: 1,
    bad: rating < GOOD_RATING ? 1 : 0,
  });
};

/** Chance that an answer is rated: more of a version that is rolled out. */
const findRatingChance = (
  get: instanceTokens.Resolve,
  model: string,
  version: string,
): number => {
  const found = listRollouts(get).find(one => one.model === model);
  if (!found || found.state !== 'running') {
    return RATING_BUDGET;
  }
  const share = get('rolloutShares').shareOf(environmentOf(get), found);
  const shares = decisions.allocateRatings(share, RATING_BUDGET);
  return version === found.to ? shares.new : shares.old;
};

/** Offers a given answer to the rating service. */
export const offerForRating = (
  get: instanceTokens.Resolve,
  {call, answer, text}: entry.GivenAnswer,
): void => {
  const {model, version} = answer;
  const messages = call.request.messages as readonly {content?: unknown}[];
  get('ratingDesk')?.offer(
    findRatingChance(get, model, version),
    {
      workspace: call.workspace.name,
      task: call.request.task,
      model,
      version,
      escalated: answer.stages.length > 1,
      score: answer.confidence,
      target: call.workspace.qualityTarget,
    },
    {
      requestId: call.requestId,
      prompt: messages.map(message => String(message.content)).join('\n'),
      answer: text,
    },
  );
};

const fetchEvidence = async (
  get: instanceTokens.Resolve,
  peer: protocol.Peer,
  name: string,
): Promise<decisions.EvidenceByInstance> => {
  const answer = await protocol.callPeer(
    get('transport').send,
    peer.address,
    'fetch_evidence',
    {rollout: name},
    EVIDENCE_TIMEOUT_MS,
  );
  return answer
    .map((found): decisions.EvidenceByInstance => ({
      [found.incarnation]: {old: found.old, new: found.new},
    }))
    .orDefault({});
};

const collectEvidence = async (
  get: instanceTokens.Resolve,
  name: string,
): Promise<decisions.EvidenceByInstance> => {
  const peers = get('peers')
    .all()
    .filter(peer => peer.state !== 'dead');
  const found = await Promise.all(
    peers.map(peer => fetchEvidence(get, peer, name)),
  );
  const own = {[get('incarnation')]: get('rolloutCounters').read(name)};
  return Object.assign({}, ...found, own) as decisions.EvidenceByInstance;
};

const withdraw = async (
  get: instanceTokens.Resolve,
  model: string,
): Promise<boolean> => {
  const changed = await inForce.changeDocument(
    {store: get('store')},
    environmentOf(get),
    rollout.setRollout(model, 'withdrawn'),
  );
  return changed.isRight();
};

const createWork =
  (
    get: instanceTokens.Resolve,
    one: configuration.Rollout,
  ): membership.LeasedTask =>
  term =>
    entry.driveRollout(
      {
        store: get('store'),
        clock: get('options').clock,
        environment: environmentOf(get),
        collectEvidence: name => collectEvidence(get, name),
        withdraw: found => withdraw(get, found.model),
        notify: (kind, {model, to}, detail) =>
          get('events').record(kind, {model, version: to, detail}),
      },
      one,
      term,
    );

const nameDuty = (environment: string, one: configuration.Rollout): string =>
  `rollout.${entry.nameState(environment, one)}`;

/** Competes for the duties of running roll-outs, and reads their shares. */
export const followRollouts = async (
  get: instanceTokens.Resolve,
  known: Set<string>,
): Promise<void> => {
  const environment = environmentOf(get);
  const running = listRollouts(get).filter(one => one.state === 'running');
  const wanted = new Map(
    running.map(one => [nameDuty(environment, one), one] as const),
  );
  for (const name of [...known].filter(each => !wanted.has(each))) {
    known.delete(name);
    await get('duties').remove(name);
  }
  for (const [name, one] of wanted) {
    if (!known.has(name)) {
      known.add(name);
      get('duties').add(name, createWork(get, one));
    }
  }
  if (listRollouts(get).length > 0) {
    await get('rolloutShares').refresh(environment);
  }
};
