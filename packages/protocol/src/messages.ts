/**
 * Messages between entry instances: for each method the shape of its
 * parameters and of its result. Schemas check what arrives; types are derived
 * from them. Both ends may run neighbouring releases during a roll-out of the
 * product itself, so fields that a receiver does not know are ignored.
 */
import * as zod from 'zod';

/** Longest list in one message; bounds the memory that a sender can claim. */
const MAX_ITEMS = 2_000;

/** Objects of one kind: twice the upstreams of the size to design for. */
const MAX_OBJECTS = 24_000;

/** Environments that one instance may follow. */
const MAX_ENVIRONMENTS = 16;

const name = zod.string().min(1).max(256);
const count = zod.number().int().nonnegative();
const milliseconds = zod.number().nonnegative();

/**
 * What is known of an instance's life: `suspect` failed to answer someone and
 * has not yet shown life; `dead` stayed suspect for too long.
 */
const peerState = zod.enum(['live', 'leaving', 'suspect', 'dead']);

/** One instance as its peers know it. */
const peer = zod.object({
  id: name,
  /** `host:port`, the host an IP address. */
  address: name,
  zone: name,
  state: peerState,
  /** Set by the instance itself; the higher one wins. */
  incarnation: count,
});

/**
 * Which configuration is in force for an environment. The digest is left out:
 * one conditional update makes each generation, so the number says it all, at
 * a sixth of the bytes of a message that every instance sends each second.
 */
const generation = zod.object({environment: name, generation: count});

/**
 * What an instance knows of its configuration: `confirmed` by the platform
 * lately; `platform_out` while most zones are heard and none reaches the
 * platform; `isolated` when it can not tell; `starting` before it has any.
 */
const standing = zod.enum([
  'starting',
  'confirmed',
  'platform_out',
  'isolated',
]);

/**
 * A named part of an environment's document, and the generation that last
 * changed it. Its digest is left out, as the receiver works it out from the
 * content anyway to check the whole.
 */
const section = zod.object({name, generation: count, content: zod.unknown()});

/** A part that is no more, and the generation that removed it. */
const removedSection = zod.object({name, generation: count});

/**
 * The step from one configuration to a later one. `baseGeneration` is absent
 * when `sections` are all there are.
 */
const configurationChange = zod.object({
  environment: name,
  generation: count,
  /** Digest of the manifest after the step. */
  digest: name,
  baseGeneration: count.optional(),
  /** Generation from which the sender knows all changes. */
  since: count,
  sections: zod.array(section).max(MAX_ITEMS),
  removed: zod.array(removedSection).max(MAX_ITEMS),
});

/** What one instance saw of one version. */
const versionCounts = zod.object({
  requests: count,
  errors: count,
  slow: count,
  // Absent from releases that do not measure it.
  paced: count.default(0),
  dragging: count.default(0),
  rated: count,
  bad: count,
});

/**
 * One gateway instance as the others know it. Each instance counts its own
 * `beat` up; a row whose beat stands still belongs to an instance that is
 * gone, or that nobody hears.
 */
const member = zod.object({
  id: name,
  zone: name,
  /** `host:port` at which it takes callers. */
  callers: name,
  /** `host:port` at which it takes messages of its peers. */
  peers: name,
  /** Wall time of its start in milliseconds; the higher start wins. */
  start: count,
  beat: count,
  phase: zod.enum(['starting', 'serving', 'leaving']),
  /** Whether its calls to the store are answered, as far as it knows. */
  store: zod.enum(['reached', 'lost']).default('reached'),
});

/** What an instance knows of one kind of objects in the store. */
const viewState = zod.object({
  kind: name,
  /** Store version up to which the view is complete. */
  version: count,
  /** Equal where the contents are equal. */
  digest: name,
  /** Time since it was last known to be complete. */
  ageMs: milliseconds,
});

/** One object of the store. */
const viewObject = zod.object({
  name,
  version: count,
  value: zod.unknown(),
  status: zod.unknown().optional(),
});

/** The step from a view that is complete up to a version to a later one. */
const viewStep = zod.object({
  /** All names that there are; others are gone. */
  names: zod.array(name).max(MAX_OBJECTS),
  /** Objects that changed after the asker's version. */
  objects: zod.array(viewObject).max(MAX_OBJECTS),
});

/** What an instance sees of one upstream; counts over the last seconds. */
const upstreamSigns = zod.object({
  id: name,
  inFlight: count,
  /** Weighted prompt tokens sent, a second. */
  tokensPerS: zod.number().nonnegative(),
  answered: count,
  failed: count,
});

/** What one start of an instance counted of a roll-out's versions. */
const orderEvidence = zod.object({
  /** Names the order: service and version. */
  order: name,
  /** Names an instance and one start of it; its counters begin at 0 there. */
  incarnation: name,
  /** Name of the route that was counted on. */
  route: name,
  old: versionCounts,
  new: versionCounts,
});

/** A roll-out as an instance follows it. */
const rolloutProgress = zod.object({
  order: name,
  /** Time since the order, as far as the instance knows. */
  ageMs: milliseconds,
  /** Sessions that must stay with the old version, by hash. */
  pinned: zod.array(count).max(MAX_ITEMS),
});

/** What all instances counted of a roll-out's versions on one route. */
const evidenceSum = orderEvidence.omit({incarnation: true});

/**
 * What an instance tells the watcher that it is told by. Of what lists only
 * grow, it tells what the watcher has not confirmed yet.
 */
const followerReport = zod.object({
  from: member,
  upstreams: zod.array(upstreamSigns).max(MAX_ITEMS),
  evidence: zod.array(orderEvidence).max(MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(MAX_ITEMS),
  /** Which list of members the instance has. */
  membersVersion: name,
  /** Sessions of each order that the watcher has told it. */
  pinnedKnown: zod.record(zod.string(), count),
});

/** What a watcher knows of the fleet, put together for one instance. */
const fleetSummary = zod.object({
  membersVersion: name,
  /** Instances that live; absent where the asker has this version. */
  members: zod.array(member).max(MAX_ITEMS).optional(),
  /** Sums over all instances but the asker. */
  upstreams: zod.array(upstreamSigns).max(MAX_ITEMS),
  /** Sums over all instances. */
  evidence: zod.array(evidenceSum).max(MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(MAX_ITEMS),
  /** Sessions of each order that the watcher knows. */
  pinnedCounts: zod.record(zod.string(), count),
});

/** What a gateway instance tells its peers, and they answer. */
const fleetReport = zod.object({
  from: member,
  members: zod.array(member).max(MAX_ITEMS),
  views: zod.array(viewState).max(MAX_ENVIRONMENTS),
  upstreams: zod.array(upstreamSigns).max(MAX_ITEMS),
  evidence: zod.array(orderEvidence).max(MAX_ITEMS),
  rollouts: zod.array(rolloutProgress).max(MAX_ITEMS),
});

/** Schemas of parameters and results by method. */
export const schemas = {
  /** Tells what is in force here; answers the same, and newer sections. */
  exchange_generations: {
    params: zod.object({
      from: peer,
      generations: zod.array(generation).max(MAX_ENVIRONMENTS),
      /** Recent changes of membership. */
      news: zod.array(peer).max(MAX_ITEMS),
    }),
    result: zod.object({
      from: peer,
      generations: zod.array(generation).max(MAX_ENVIRONMENTS),
      news: zod.array(peer).max(MAX_ITEMS),
      /** Age of the last confirmation by the platform; absent for never. */
      confirmedAgeMs: milliseconds.optional(),
      /** Age of the last sign of life from each zone. */
      zoneAgesMs: zod.record(zod.string(), milliseconds),
      /** The step to this instance's configuration when the caller's is older. */
      change: configurationChange.optional(),
    }),
  },
  /** Fetches the step from `haveGeneration`, or the whole configuration. */
  fetch_sections: {
    params: zod.object({environment: name, haveGeneration: count.optional()}),
    result: zod.object({change: configurationChange.optional()}),
  },
  /** Tells operators what is in force, and whether new work is taken. */
  report_generation: {
    params: zod.object({environment: name}),
    result: zod.object({
      from: peer,
      generation: count.optional(),
      standing,
    }),
  },
  /** Lists the instances that the receiver knows, for one that joins. */
  list_peers: {
    params: zod.object({}),
    result: zod.object({peers: zod.array(peer).max(MAX_ITEMS)}),
  },
  /** Copies pending bills of `owner` to an instance in another zone. */
  copy_bills: {
    params: zod.object({
      owner: name,
      bills: zod.array(zod.unknown()).max(MAX_ITEMS),
      /** Lanes that are in the object API, whose copies can go. */
      writtenLanes: zod.array(name).max(MAX_ITEMS),
    }),
    result: zod.object({accepted: count}),
  },
  /** Fetches the copies of bills that the receiver keeps for `owner`. */
  fetch_bills: {
    params: zod.object({owner: name}),
    result: zod.object({bills: zod.array(zod.unknown())}),
  },
  /** Collects events of the receiver's time line, oldest first. */
  collect_events: {
    params: zod.object({
      /** -1 for all that the receiver still has. */
      afterSequence: zod.number().int().min(-1),
      limit: count.max(MAX_ITEMS),
      filter: zod.record(zod.string(), zod.string()).optional(),
    }),
    result: zod.object({
      events: zod.array(zod.unknown()).max(MAX_ITEMS),
      /** Sequence of the last event looked at; pass it as `afterSequence`. */
      lastSequence: zod.number().int().min(-1),
    }),
  },
  /** Fetches what the receiver counted of a roll-out's two versions. */
  fetch_evidence: {
    params: zod.object({rollout: name}),
    result: zod.object({
      /** Names the receiver's start; its counters begin at 0 there. */
      incarnation: name,
      old: versionCounts,
      new: versionCounts,
    }),
  },
  /** Asks the issuer of an upstream in cold start for slots. */
  request_grant: {
    params: zod.object({
      upstream: name,
      instance: name,
      wanted: count,
      inFlight: count,
      /** Time since the upstream turned cold, as the asker knows it. */
      ageMs: milliseconds,
      coldSlots: count,
      fullSlots: count,
      warmMs: milliseconds,
    }),
    result: zod.object({slots: count, termMs: milliseconds}),
  },
  /** Asks whether a claim that the receiver made is void. */
  describe_claim: {
    params: zod.object({incarnation: name, owner: name}),
    result: zod.object({state: zod.enum(['void', 'in_use', 'no_answer'])}),
  },
  /** Tells what a gateway instance knows; answers the same. */
  exchange_reports: {
    params: fleetReport,
    result: fleetReport,
  },
  /** Fetches all objects of a kind as the receiver knows them. */
  fetch_view: {
    params: zod.object({kind: name}),
    result: zod.object({
      /** Absent where the receiver knows nothing of the kind. */
      view: zod
        .object({
          version: count,
          ageMs: milliseconds,
          objects: zod.array(viewObject),
        })
        .optional(),
    }),
  },
  /**
   * Waits until the receiver's views differ from the asker's, or for a while,
   * and brings what is new.
   */
  await_views: {
    params: zod.object({
      known: zod
        .array(zod.object({kind: name, version: count, digest: name}))
        .max(MAX_ENVIRONMENTS),
      waitMs: milliseconds,
      report: followerReport.optional(),
    }),
    result: zod.object({
      /** How long the receiver held the call before it read its views. */
      heldMs: milliseconds,
      views: zod
        .array(viewState.extend({step: viewStep.optional()}))
        .max(MAX_ENVIRONMENTS),
      /** Present where the asker reported. */
      summary: fleetSummary.optional(),
    }),
  },
  /** Says that an instance leaves and must not be offered to callers. */
  leaving: {
    params: zod.object({from: peer}),
    result: zod.object({}),
  },
} as const;

type Schemas = typeof schemas;

/** Name of a message between entry instances. */
export type MethodName = keyof Schemas;

/** Parameters and result of each message. */
export type Methods = {
  readonly [M in MethodName]: {
    readonly params: zod.infer<Schemas[M]['params']>;
    readonly result: zod.infer<Schemas[M]['result']>;
  };
};

/** Parameters of a message. */
export type Params<M extends MethodName> = Methods[M]['params'];

/** Result of a message. */
export type Result<M extends MethodName> = Methods[M]['result'];

/** One instance as its peers know it. */
export type Peer = Readonly<zod.infer<typeof peer>>;

/** What is known of an instance's life. */
export type PeerState = Peer['state'];

/** One gateway instance as the others know it. */
export type Member = Readonly<zod.infer<typeof member>>;

/** What an instance knows of one kind of objects in the store. */
export type ViewState = Readonly<zod.infer<typeof viewState>>;

/** The step from one state of a view to a later one. */
export type ViewStep = Readonly<zod.infer<typeof viewStep>>;

/** What an instance sees of one upstream. */
export type UpstreamSigns = Readonly<zod.infer<typeof upstreamSigns>>;

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

/** Which configuration is in force for an environment. */
export type Generation = Readonly<zod.infer<typeof generation>>;

/** What an instance knows of its configuration. */
export type Standing = zod.infer<typeof standing>;

/** The step from one configuration to a later one. */
export type ConfigurationChange = Readonly<
  zod.infer<typeof configurationChange>
>;
