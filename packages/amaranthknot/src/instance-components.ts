/** Types of the components of an entry instance, and of their resolver. */
import type * as decisions from '@amaranthknot/decisions';
import type * as entry from '@amaranthknot/entry';
import type * as ledger from '@amaranthknot/ledger';
import type * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as instanceOptions from './instance-options.js';

/** Components of a running instance, by token. */
export interface InstanceComponents {
  readonly options: instanceOptions.InstanceOptions;
  /** See `formatIncarnation`. */
  readonly incarnation: string;
  readonly store: ports.ObjectStore;
  readonly instanceList: ports.InstanceList;
  readonly transport: protocol.HttpTransport;
  readonly peers: membership.PeerTable;
  readonly follower: membership.ConfigurationFollower;
  readonly events: telemetry.EventRing;
  readonly metrics: telemetry.Metrics;
  readonly logger: telemetry.Logger;
  readonly placement: decisions.Placement;
  readonly directory: entry.UpstreamDirectory;
  readonly warmUpLimiter: entry.WarmUpLimiter;
  readonly zoneRamp: entry.ZoneRamp;
  readonly admission: entry.AdmissionController;
  readonly claims: ledger.ClaimLedger;
  readonly bills: ledger.BillLedger;
  readonly billReplicator: ledger.BillReplicator;
  readonly copyStore: ledger.CopyStore;
  readonly pins: entry.PinRegistry;
  readonly retryBudget: decisions.RetryBudget;
  readonly cascades: decisions.CascadePolicy;
  readonly leasedTaskRunner: membership.LeasedTaskRunner;
  readonly rolloutCounters: entry.RolloutCounters;
  readonly rolloutShares: entry.RolloutShares;
  /** Undefined if the settings name no rating service. */
  readonly ratingSampler: entry.RatingSampler | undefined;
  readonly peerServer: protocol.PeerServer;
  readonly server: entry.EntryServer;
}

/** Resolves a component by its token. */
export type InstanceResolver = <K extends keyof InstanceComponents>(
  token: K,
) => InstanceComponents[K];
