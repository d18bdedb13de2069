/** Claims as stored in the object API. */
import * as crypto from 'node:crypto';

/** Kind of claim objects in the object API. */
export const CLAIM_KIND = 'claim';

/** The recorded answer to a request, which the caller's retries receive. */
export type ClaimOutcome =
  | {readonly kind: 'answer'; readonly status: number; readonly body: string}
  | {
      /** Stands for an answer that is too large to store. */
      readonly kind: 'digest';
      readonly status: number;
      readonly bytes: number;
      readonly sha256: string;
    };

/** `finished` once the owner of the claim has recorded the answer. */
export type ClaimState = 'claimed' | 'finished';

/** Value of a claim object. */
export interface ClaimRecord {
  /** Unique token of the one attempt that may send the request. */
  readonly owner: string;
  /** Incarnation of the instance that created the claim. */
  readonly incarnation: string;
  /** Fingerprint of the request's body. */
  readonly fingerprint: string;
  readonly state: ClaimState;
  readonly outcome?: ClaimOutcome;
  /** Wall time of the claim, in milliseconds since the epoch. */
  readonly atWallMs: number;
}

/** Parses the value of a claim object; undefined when it is malformed. */
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

/** Replaces an answer of more than `maxBytes` by its digest. */
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
