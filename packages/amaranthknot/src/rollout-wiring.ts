/**
 * Wires rollouts and ratings into one entry instance: assigns versions, counts
 * evidence, samples answers for ratings, and runs the leased rollout tasks.
 */
import * as decisions from '@amaranthknot/decisions';
import * as entry from '@amaranthknot/entry';
import type * as configuration from '@amaranthknot/configuration';
import type * as membership from '@amaranthknot/membership';
import * as protocol from '@amaranthknot/protocol';
import * as rolloutCommand from './commands/rollout.js';
import type * as instanceComponents from './instance-components.js';
import * as activeDocument from './operator/active-document.js';

/** Fraction of answers that is rated. */
const RATED_FRACTION = 0.1;

/** Lowest rating that does not count as bad. */
const MIN_GOOD_RATING = 0.5;

/** Timeout of one peer's evidence, in milliseconds. */
const EVIDENCE_TIMEOUT_MS = 500;

const listRollouts = (
  get: instanceComponents.InstanceResolver,
): readonly configuration.Rollout[] =>
  get('follower').activeConfiguration()?.document.rollouts ?? [];

const environmentOf = (get: instanceComponents.InstanceResolver): string =>
  get('options').settings.instance.environment;

/** Counts an observation of a version, if a rollout concerns it. */
export const recordObservation = (
  get: instanceComponents.InstanceResolver,
  model: string,
  version: string,
  observation: entry.VersionObservation,
): void =>
  get('rolloutCounters').count(listRollouts(get), model, version, observation);

/** Version that a rollout assigns to a session without a pin, if any. */
export const assignVersion = (
  get: instanceComponents.InstanceResolver,
  model: string,
  sessionKey: string,
): string | undefined =>
  get('rolloutShares').assign(
    environmentOf(get),
    listRollouts(get),
    model,
    sessionKey,
  );

/** Passes a rating to the cascade policy and to the rollout evidence. */
export const applyRating = (
  get: instanceComponents.InstanceResolver,
  answer: entry.SampledAnswer,
  rating: number,
): void => {
  get('cascades').observeRating({...answer, rating});
  recordObservation(get, answer.model, answer.version, {
    rated: 1,
    bad: rating < MIN_GOOD_RATING ? 1 : 0,
  });
};

/**
 * Probability with which an answer is rated; higher for a version that is being
 * rolled out.
 */
const findRatingProbability = (
  get: instanceComponents.InstanceResolver,
  model: string,
  version: string,
): number => {
  const found = listRollouts(get).find(rollout => rollout.model === model);
  if (!found || found.state !== 'running') {
    return RATED_FRACTION;
  }
  const share = get('rolloutShares').getShare(environmentOf(get), found);
  const shares = decisions.allocateRatings(share, RATED_FRACTION);
  return version === found.to ? shares.new : shares.old;
};

/** Offers a delivered answer to the rating service. */
export const offerForRating = (
  get: instanceComponents.InstanceResolver,
  {call, answer, text}: entry.DeliveredAnswer,
): void => {
  const {model, version} = answer;
  const messages = call.request.messages as readonly {content?: unknown}[];
  get('ratingSampler')?.offer(
    findRatingProbability(get, model, version),
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
  get: instanceComponents.InstanceResolver,
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
  get: instanceComponents.InstanceResolver,
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
  get: instanceComponents.InstanceResolver,
  model: string,
): Promise<boolean> => {
  const changed = await activeDocument.changeDocument(
    {store: get('store')},
    environmentOf(get),
    rolloutCommand.setRolloutState(model, 'withdrawn'),
  );
  return changed.isRight();
};

const createLeasedTask =
  (
    get: instanceComponents.InstanceResolver,
    rollout: configuration.Rollout,
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
      rollout,
      term,
    );

const formatTaskName = (
  environment: string,
  rollout: configuration.Rollout,
): string => `rollout.${entry.nameRolloutState(environment, rollout)}`;

/**
 * Competes for the leased tasks of running rollouts, removes the tasks of those
 * that no longer run, and reads the current share of each rollout.
 *
 * @param known names of the tasks that this instance competes for; updated.
 */
export const updateRolloutTasks = async (
  get: instanceComponents.InstanceResolver,
  known: Set<string>,
): Promise<void> => {
  const environment = environmentOf(get);
  const running = listRollouts(get).filter(
    rollout => rollout.state === 'running',
  );
  const wanted = new Map(
    running.map(
      rollout => [formatTaskName(environment, rollout), rollout] as const,
    ),
  );
  for (const name of [...known].filter(each => !wanted.has(each))) {
    known.delete(name);
    await get('leasedTaskRunner').remove(name);
  }
  for (const [name, rollout] of wanted) {
    if (!known.has(name)) {
      known.add(name);
      get('leasedTaskRunner').add(name, createLeasedTask(get, rollout));
    }
  }
  if (listRollouts(get).length > 0) {
    await get('rolloutShares').refresh(environment);
  }
};
