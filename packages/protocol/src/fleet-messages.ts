/**
 * Schemas of what gateway instances send each other: which instances live, what
 * is measured of upstreams and versions, and views of the store.
 */
import * as zod from 'zod';
import * as shapes from './shapes.js';

/** One gateway instance as the others know it. */
export const member = zod.object({
  id: shapes.name,
  zone: shapes.name,
  /** `host:port` for callers. */
  callers: shapes.name,
  /** `host:port` for messages of its peers. */
  peers: shapes.name,
  /**
   * Wall time of its start in milliseconds; the row with the higher start is
   * the later one.
   */
  start: shapes.count,
  /** Increases with each change that the instance makes to its row. */
  revision: shapes.count,
  phase: zod.enum(['starting', 'serving', 'leaving']),
  /** Whether the store answers its calls, as far as it knows. */
  store: zod.enum(['reached', 'lost']).default('reached'),
  /** Processor cores that it may use. */
  cores: zod.number().positive().default(1),
  /**
   * Services of which it reaches no upstream; absent in releases that can't
   * take forwarded requests.
   */
  lostServices: zod.array(shapes.name).max(shapes.MAX_ITEMS).optional(),
});

/**
 * State of a group: the instances that are connected to one instance, usually a
 * watcher. The members of a group count as live as long as its `beat`
 * increases.
 */
export const groupState = zod.object({
  /** Id of the instance that keeps the group. */
  keeper: shapes.name,
  /** Start of the keeper; the state with the higher start is the later one. */
  start: shapes.count,
  /** Increased by the keeper at each exchange interval. */
  beat: shapes.count,
  /** Increases with each change of its members; 0 if they are not known. */
  revision: shapes.count,
});

/** All members of a group, its keeper included. */
export const groupMembers = groupState.omit({beat: true}).extend({
  members: zod.array(member).max(shapes.MAX_ITEMS),
});

/** The difference between an earlier and a later list of live instances. */
export const memberListDelta = zod.object({
  /** Whether `changed` is the whole list. */
  isWhole: zod.boolean(),
  changed: zod.array(member).max(shapes.MAX_ITEMS),
  /** Ids of instances that are gone. */
  gone: zod.array(shapes.name).max(shapes.MAX_ITEMS),
});

/** State of an instance's view of one kind of objects in the store. */
export const viewState = zod.object({
  kind: shapes.name,
  /** Store version up to which the view is complete. */
  version: shapes.count,
  /** Digest of the contents; equal for views with the same contents. */
  digest: shapes.name,
  /** Time since the view was last known to be complete. */
  ageMs: shapes.milliseconds,
  /**
   * For how long before then the store had answered instances, without a long
   * gap.
   */
  answeredForMs: shapes.milliseconds.default(0),
});

/** One object of the store. */
export const viewObject = zod.object({
  name: shapes.name,
  version: shapes.count,
  value: zod.unknown(),
  status: zod.unknown().optional(),
});

/**
 * The difference between a view that is complete up to a version and a later
 * one.
 */
export const viewDelta = zod.object({
  /** Names of all objects; objects not named are deleted. */
  names: zod.array(shapes.name).max(shapes.MAX_OBJECTS),
  /** Objects that changed after the caller's version. */
  objects: zod.array(viewObject).max(shapes.MAX_OBJECTS),
});

/**
 * One instance's load and outcome counts of one upstream; outcomes are those of
 * the last seconds.
 */
export const upstreamStats = zod.object({
  id: shapes.name,
  inFlight: shapes.count,
  /** Weighted tokens of prompts whose answers have not begun. */
  waitingTokens: zod.number().nonnegative(),
  /** Weighted prompt tokens sent per second. */
  tokensPerS: zod.number().nonnegative(),
  answered: shapes.count,
  failed: shapes.count,
});

/**
 * The rate limit that an upstream last announced for all instances together.
 */
export const rateLimit = zod.object({
  id: shapes.name,
  /** Requests per second; absent if the upstream no longer has a limit. */
  perSecond: zod.number().nonnegative().optional(),
  /** Time since the upstream announced it. */
  ageMs: shapes.milliseconds,
});

/**
 * The refusals per second above which an upstream says that it fails, over all
 * instances together.
 */
export const refusalLimit = rateLimit;

/** Evidence of one instance about a part of prompts that ends upstreams. */
export const suspectPart = zod.object({
  part: shapes.name,
  /** Workspace whose request brought it here; empty if the route is public. */
  workspace: zod.string().max(shapes.MAX_NAME_LENGTH),
  /** Ends of upstreams that had not begun to answer a request with it. */
  ends: zod
    .array(
      zod.object({
        /** Names the upstream and its start. */
        upstream: shapes.name,
        ageMs: shapes.milliseconds,
        /** Time since the last request with the part was sent there. */
        sentAgeMs: shapes.milliseconds,
        /** Other upstreams that ended at the same moment. */
        coincident: zod
          .array(shapes.name)
          .max(shapes.MAX_ITEMS)
          .readonly()
          .optional(),
      }),
    )
    .max(shapes.MAX_ITEMS)
    .readonly(),
  /** Time since an answer to a request with it last began. */
  provenAgeMs: shapes.milliseconds.optional(),
  /** Time since it was held. */
  heldAgeMs: shapes.milliseconds.optional(),
  /** Time since a request with it was last sent on trial. */
  trialAgeMs: shapes.milliseconds.optional(),
});

/** A list of such evidence. */
export const suspectParts = zod.array(suspectPart).max(shapes.MAX_ITEMS);

/** Longest list of sends by their age. */
const MAX_SLOTS = 20;

/** Number of first sends and of repeats. */
const sendCounts = zod.object({requests: shapes.count, repeats: shapes.count});

/**
 * Sends within a part of the window. Not whole: what was sent over some time
 * counts as spread over the parts.
 */
const spreadSends = zod.object({
  requests: zod.number().nonnegative(),
  repeats: zod.number().nonnegative(),
});

/** Sends for one service. */
export const serviceSends = sendCounts.extend({service: shapes.name});

/**
 * Sends for one service of a watcher and the instances that report to it,
 * since the watcher keeps its group.
 */
export const groupSends = serviceSends.extend({
  /** Identifies the watcher and its start. */
  keeper: shapes.name,
  /** Time since the watcher told them. */
  ageMs: shapes.milliseconds,
  /**
   * Those within the window in which operators count repeats, by age: equal
   * parts of the window, the present one first.
   */
  recent: zod.array(spreadSends).max(MAX_SLOTS).readonly(),
});

/** What all messages about sends have. */
const toldSends = zod.object({
  /** For how long the sender has known of all sends. */
  knownForMs: shapes.milliseconds,
  /** All sends that it knows, for one that knows less of the past. */
  history: zod
    .array(
      zod.object({
        service: shapes.name,
        recent: zod.array(spreadSends).max(MAX_SLOTS).readonly(),
      }),
    )
    .max(shapes.MAX_ITEMS)
    .readonly()
    .optional(),
});

/** The sends in a follower's report. */
const followerSends = toldSends.extend({
  /** What it sent since its last report that was answered. */
  sent: zod.array(serviceSends).max(shapes.MAX_ITEMS).readonly(),
  /** Time over which it sent them. */
  overMs: shapes.milliseconds,
});

/** What a watcher tells a follower of the sends of all instances. */
const fleetTotals = toldSends.extend({
  /** What the window holds in which operators count repeats. */
  totals: zod.array(serviceSends).max(shapes.MAX_ITEMS).readonly(),
});

/** What a watcher tells another one of the sends of all groups. */
const watcherSends = toldSends.extend({
  groups: zod.array(groupSends).max(shapes.MAX_ITEMS).readonly(),
});

/** An upstream that was away, and may be in cold start since it is back. */
export const upstreamAbsence = zod.object({
  id: shapes.name,
  /** Wall time of the start that was away, in milliseconds. */
  startedAtMs: zod.number(),
  /** Time since it was last found away. */
  awayAgeMs: shapes.milliseconds,
  /** Time since an instance first saw it answer again. */
  answeredAgeMs: shapes.milliseconds.optional(),
  /** Whether an instance had answers all the while, so that it was not away. */
  isRefuted: zod.boolean().optional(),
});

/** A list of such upstreams. */
export const upstreamAbsences = zod
  .array(upstreamAbsence)
  .max(shapes.MAX_ITEMS);

/** Counts of a rollout's versions since one start of an instance. */
export const orderEvidence = zod.object({
  /** Identifies the rollout: service and version. */
  order: shapes.name,
  /** Identifies an instance and its start; its counters begin at 0 there. */
  incarnation: shapes.name,
  /** Name of the route to which the counts belong. */
  route: shapes.name,
  old: shapes.versionCounts,
  new: shapes.versionCounts,
});

/** An instance's progress in a rollout. */
export const rolloutProgress = zod.object({
  order: shapes.name,
  /** Time since the rollout was requested, as far as the instance knows. */
  ageMs: shapes.milliseconds,
  /** Hashes of the sessions that must stay with the old version. */
  pinned: zod.array(shapes.count).max(shapes.MAX_ITEMS),
  /** Whether the instance has judged the version bad. */
  isBad: zod.boolean().optional(),
});

/** Counts of a rollout's versions on one route, summed over all instances. */
export const evidenceSum = orderEvidence.omit({incarnation: true});

/**
 * Report of a follower to its watcher. Of lists that only grow, it contains
 * what the watcher has not confirmed yet.
 */
export const followerReport = zod.object({
  from: member,
  /**
   * Whether the sender is a watcher itself, which learns of the fleet from its
   * peers.
   */
  isWatcher: zod.boolean().default(false),
  upstreams: zod.array(upstreamStats).max(shapes.MAX_OBJECTS),
  limits: zod.array(rateLimit).max(shapes.MAX_OBJECTS).default([]),
  refusalLimits: zod.array(refusalLimit).max(shapes.MAX_OBJECTS).optional(),
  suspectParts: suspectParts.optional(),
  absences: upstreamAbsences.optional(),
  sends: followerSends.optional(),
  evidence: zod.array(orderEvidence).max(shapes.MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(shapes.MAX_ITEMS),
  /** Version of the member list that the instance has. */
  membersVersion: shapes.name,
  /** By rollout, the number of sessions that the watcher has sent to it. */
  pinnedKnown: zod.record(zod.string(), shapes.count),
});

/** A watcher's summary of the fleet for one instance. */
export const fleetSummary = zod.object({
  membersVersion: shapes.name,
  /** Changes to the member list; absent if the caller has this version. */
  members: memberListDelta.optional(),
  /** Sums over all instances except the caller. */
  upstreams: zod.array(upstreamStats).max(shapes.MAX_OBJECTS),
  limits: zod.array(rateLimit).max(shapes.MAX_OBJECTS).default([]),
  refusalLimits: zod.array(refusalLimit).max(shapes.MAX_OBJECTS).optional(),
  suspectParts: suspectParts.optional(),
  absences: upstreamAbsences.optional(),
  sends: fleetTotals.optional(),
  /** Sums over all instances. */
  evidence: zod.array(evidenceSum).max(shapes.MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(shapes.MAX_ITEMS),
  /** By rollout, the number of sessions that the watcher knows. */
  pinnedCounts: zod.record(zod.string(), shapes.count),
});

/** Report that a gateway instance sends to a peer, and gets in return. */
export const fleetReport = zod.object({
  from: member,
  /** Instances that watch the store, for a receiver that knows none yet. */
  watchers: zod.array(member).max(shapes.MAX_ITEMS),
  groups: zod.array(groupState).max(shapes.MAX_ITEMS),
  /**
   * Members of groups that the receiver does not have in their present state.
   */
  groupMembers: zod.array(groupMembers).max(shapes.MAX_ITEMS),
  views: zod.array(viewState).max(shapes.MAX_ENVIRONMENTS),
  upstreams: zod.array(upstreamStats).max(shapes.MAX_OBJECTS),
  limits: zod.array(rateLimit).max(shapes.MAX_OBJECTS).default([]),
  refusalLimits: zod.array(refusalLimit).max(shapes.MAX_OBJECTS).optional(),
  suspectParts: suspectParts.optional(),
  absences: upstreamAbsences.optional(),
  /** Absent if the sender is no watcher. */
  sends: watcherSends.optional(),
  evidence: zod.array(orderEvidence).max(shapes.MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(shapes.MAX_ITEMS),
});

/** One gateway instance as the others know it. */
export type Member = Readonly<zod.infer<typeof member>>;

/** State of a group. */
export type GroupState = Readonly<zod.infer<typeof groupState>>;

/** All members of a group. */
export type GroupMembers = Readonly<zod.infer<typeof groupMembers>>;

/** The difference between an earlier and a later list of live instances. */
export type MemberListDelta = Readonly<zod.infer<typeof memberListDelta>>;

/** State of an instance's view of one kind of objects in the store. */
export type ViewState = Readonly<zod.infer<typeof viewState>>;

/** The difference between an earlier and a later state of a view. */
export type ViewDelta = Readonly<zod.infer<typeof viewDelta>>;

/** One instance's load and outcome counts of one upstream. */
export type UpstreamStats = Readonly<zod.infer<typeof upstreamStats>>;

/** Counts of a rollout's versions since one start of an instance. */
export type OrderEvidence = Readonly<zod.infer<typeof orderEvidence>>;

/** An instance's progress in a rollout. */
export type RolloutProgress = Readonly<zod.infer<typeof rolloutProgress>>;

/** Counts of a rollout's versions on one route, summed over all instances. */
export type EvidenceSum = Readonly<zod.infer<typeof evidenceSum>>;

/** Report of a follower to its watcher. */
export type FollowerReport = Readonly<zod.infer<typeof followerReport>>;

/** A watcher's summary of the fleet for one instance. */
export type FleetSummary = Readonly<zod.infer<typeof fleetSummary>>;

/** Evidence of one instance about a part of prompts that ends upstreams. */
export type SuspectPartReport = Readonly<zod.infer<typeof suspectPart>>;

/** An upstream that was away. */
export type UpstreamAbsence = Readonly<zod.infer<typeof upstreamAbsence>>;

/** Report that a gateway instance sends to a peer. */
export type FleetReport = Readonly<zod.infer<typeof fleetReport>>;
