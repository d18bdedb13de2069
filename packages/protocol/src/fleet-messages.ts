/**
 * What gateway instances tell each other: who lives, what upstreams and
 * versions show, and views of the store.
 */
import * as zod from 'zod';
import * as shapes from './shapes.js';

/** One gateway instance as the others know it. */
export const member = zod.object({
  id: shapes.name,
  zone: shapes.name,
  /** `host:port` at which it takes callers. */
  callers: shapes.name,
  /** `host:port` at which it takes messages of its peers. */
  peers: shapes.name,
  /** Wall time of its start in milliseconds; the higher start wins. */
  start: shapes.count,
  /** Rises with each change of what it says of itself. */
  revision: shapes.count,
  phase: zod.enum(['starting', 'serving', 'leaving']),
  /** Whether its calls to the store are answered, as far as it knows. */
  store: zod.enum(['reached', 'lost']).default('reached'),
  /** What its machine gives it, in processor cores. */
  cores: zod.number().positive().default(1),
});

/**
 * How far a group has come: the instances that one instance, mostly a watcher,
 * has on the line. The members of a group live as long as its `beat` rises.
 */
export const groupState = zod.object({
  /** The instance that keeps the group. */
  keeper: shapes.name,
  /** Start of the keeper; the higher start wins. */
  start: shapes.count,
  /** The keeper counts it up all the time. */
  beat: shapes.count,
  /** Rises with each change of its members; 0: they are not known. */
  revision: shapes.count,
});

/** All members of a group, its keeper among them. */
export const groupMembers = groupState.omit({beat: true}).extend({
  members: zod.array(member).max(shapes.MAX_ITEMS),
});

/** The step from one state of the list of live instances to a later one. */
export const memberListDelta = zod.object({
  /** Whether `changed` holds all there are. */
  isWhole: zod.boolean(),
  changed: zod.array(member).max(shapes.MAX_ITEMS),
  /** Instances that live no more. */
  gone: zod.array(shapes.name).max(shapes.MAX_ITEMS),
});

/** What an instance knows of one kind of objects in the store. */
export const viewState = zod.object({
  kind: shapes.name,
  /** Store version up to which the view is complete. */
  version: shapes.count,
  /** Equal where the contents are equal. */
  digest: shapes.name,
  /** Time since it was last known to be complete. */
  ageMs: shapes.milliseconds,
  /** How long the store had answered instances then, without a long silence. */
  answeredForMs: shapes.milliseconds.default(0),
});

/** One object of the store. */
export const viewObject = zod.object({
  name: shapes.name,
  version: shapes.count,
  value: zod.unknown(),
  status: zod.unknown().optional(),
});

/** The step from a view that is complete up to a version to a later one. */
export const viewDelta = zod.object({
  /** All names that there are; others are gone. */
  names: zod.array(shapes.name).max(shapes.MAX_OBJECTS),
  /** Objects that changed after the asker's version. */
  objects: zod.array(viewObject).max(shapes.MAX_OBJECTS),
});

/** What an instance sees of one upstream; counts over the last seconds. */
export const upstreamStats = zod.object({
  id: shapes.name,
  inFlight: shapes.count,
  /** Weighted tokens of prompts whose answers have not begun. */
  waitingTokens: zod.number().nonnegative(),
  /** Weighted prompt tokens sent, a second. */
  tokensPerS: zod.number().nonnegative(),
  answered: shapes.count,
  failed: shapes.count,
});

/** What an upstream said last of how much it takes from all instances. */
export const rateLimit = zod.object({
  id: shapes.name,
  /** Requests a second; absent where it names no limit any more. */
  perSecond: zod.number().nonnegative().optional(),
  /** Time since it said so. */
  ageMs: shapes.milliseconds,
});

/** What one start of an instance counted of a roll-out's versions. */
export const orderEvidence = zod.object({
  /** Names the order: service and version. */
  order: shapes.name,
  /** Names an instance and one start of it; its counters begin at 0 there. */
  incarnation: shapes.name,
  /** Name of the route that was counted on. */
  route: shapes.name,
  old: shapes.versionCounts,
  new: shapes.versionCounts,
});

/** A roll-out as an instance follows it. */
export const rolloutProgress = zod.object({
  order: shapes.name,
  /** Time since the order, as far as the instance knows. */
  ageMs: shapes.milliseconds,
  /** Sessions that must stay with the old version, by hash. */
  pinned: zod.array(shapes.count).max(shapes.MAX_ITEMS),
});

/** What all instances counted of a roll-out's versions on one route. */
export const evidenceSum = orderEvidence.omit({incarnation: true});

/**
 * What an instance tells the watcher that it is told by. Of what lists only
 * grow, it tells what the watcher has not confirmed yet.
 */
export const followerReport = zod.object({
  from: member,
  /** Whether it tells others itself: it hears of the fleet from its peers. */
  isWatcher: zod.boolean().default(false),
  upstreams: zod.array(upstreamStats).max(shapes.MAX_OBJECTS),
  limits: zod.array(rateLimit).max(shapes.MAX_OBJECTS).default([]),
  evidence: zod.array(orderEvidence).max(shapes.MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(shapes.MAX_ITEMS),
  /** Which list of members the instance has. */
  membersVersion: shapes.name,
  /** Sessions of each order that the watcher has told it. */
  pinnedKnown: zod.record(zod.string(), shapes.count),
});

/** What a watcher knows of the fleet, put together for one instance. */
export const fleetSummary = zod.object({
  membersVersion: shapes.name,
  /** What has changed in it; absent where the asker has this version. */
  members: memberListDelta.optional(),
  /** Sums over all instances but the asker. */
  upstreams: zod.array(upstreamStats).max(shapes.MAX_OBJECTS),
  limits: zod.array(rateLimit).max(shapes.MAX_OBJECTS).default([]),
  /** Sums over all instances. */
  evidence: zod.array(evidenceSum).max(shapes.MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(shapes.MAX_ITEMS),
  /** Sessions of each order that the watcher knows. */
  pinnedCounts: zod.record(zod.string(), shapes.count),
});

/** What a gateway instance tells its peers, and they answer. */
export const fleetReport = zod.object({
  from: member,
  /** Instances that watch the store, for one that knows nobody yet. */
  watchers: zod.array(member).max(shapes.MAX_ITEMS),
  groups: zod.array(groupState).max(shapes.MAX_ITEMS),
  /** Members of groups that the receiver does not have as they are. */
  groupMembers: zod.array(groupMembers).max(shapes.MAX_ITEMS),
  views: zod.array(viewState).max(shapes.MAX_ENVIRONMENTS),
  upstreams: zod.array(upstreamStats).max(shapes.MAX_OBJECTS),
  limits: zod.array(rateLimit).max(shapes.MAX_OBJECTS).default([]),
  evidence: zod.array(orderEvidence).max(shapes.MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(shapes.MAX_ITEMS),
});

/** One gateway instance as the others know it. */
export type Member = Readonly<zod.infer<typeof member>>;

/** How far a group has come. */
export type GroupState = Readonly<zod.infer<typeof groupState>>;

/** All members of a group. */
export type GroupMembers = Readonly<zod.infer<typeof groupMembers>>;

/** The step from one state of the list of live instances to a later one. */
export type MemberListDelta = Readonly<zod.infer<typeof memberListDelta>>;

/** What an instance knows of one kind of objects in the store. */
export type ViewState = Readonly<zod.infer<typeof viewState>>;

/** The step from one state of a view to a later one. */
export type ViewDelta = Readonly<zod.infer<typeof viewDelta>>;

/** What an instance sees of one upstream. */
export type UpstreamStats = Readonly<zod.infer<typeof upstreamStats>>;

/** What one start of an instance counted of a roll-out's versions. */
export type OrderEvidence = Readonly<zod.infer<typeof orderEvidence>>;

/** A roll-out as an instance follows it. */
export type RolloutProgress = Readonly<zod.infer<typeof rolloutProgress>>;

/** What all instances counted of a roll-out's versions on one route. */
export type EvidenceSum = Readonly<zod.infer<typeof evidenceSum>>;

/** What an instance tells the watcher that it is told by. */
export type FollowerReport = Readonly<zod.infer<typeof followerReport>>;

/** What a watcher knows of the fleet, put together for one instance. */
export type FleetSummary = Readonly<zod.infer<typeof fleetSummary>>;

/** What a gateway instance tells its peers. */
export type FleetReport = Readonly<zod.infer<typeof fleetReport>>;
