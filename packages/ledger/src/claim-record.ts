/** Claims as the object API holds them. */
import * as crypto from 'node:crypto';

/** Kind of claim objects in the object API. */
export const CLAIM_KIND = 'claim';

/** The recorded answer of a request, for retries of its caller. */
export type ClaimOutcome =
  | {readonly kind: 'answer'; readonly status: number; readonly body: string}
  | {
      /** An answer too large to keep: its size and SHA-256 digest only. */
      readonly kind: 'digest';
      readonly status: number;
      readonly bytes: number;
      readonly sha256: string;
    };

/** Whether the owner of a claim has recorded its answer. */
export type ClaimState = 'claimed' | 'finished';

/** Value of a claim object. */
export interface ClaimRecord {
  /** Unique token of the one attempt that may send the request. */
  readonly owner: string;
  /** Incarnation of the instance that made the claim. */
  readonly incarnation: string;
  /** Fingerprint of the request's body. */
  readonly fingerprint: string;
  readonly state: ClaimState;
  readonly outcome?: ClaimOutcome;
  /** Wall time of the claim, in milliseconds since the epoch. */
  readonly atWallMs: number;
}

/** Reads a claim object's value; undefined when it is not one. */
export const readClaimRecord = (value: unknown): ClaimRecord | undefined => {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const record = value as Partial<ClaimRecord>;
  const complete =
    typeof record.owner === 'string' &&
    typeof record.incarnation === 'string' &&
    typeof record.fingerprint === 'string' &&
    (record.state === 'claimed' || record.state === 'finished');
  return complete ? (record as ClaimRecord) : undefined;
};

/** Bounds an answer to `maxBytes`; a larger one is kept as a digest. */
export const boundOutcome = (
  outcome: ClaimOutcome,
  maxBytes: number,
): ClaimOutcome => {
  if (outcome.kind === 'digest') {
    return outcome;
  }
  const body = Buffer.from(outcome.body, 'utf8');
  if (body.length <= maxBytes) {
    return outcome;
  }
  return {
    kind: 'digest',
    status: outcome.status,
    bytes: body.length,
    sha256: crypto.createHash('sha256').update(body).digest('hex'),
  };
};
