import type { AccountId } from '../ids/account-id.js';
import type { AttemptId } from '../ids/attempt-id.js';
import type { ChangeId } from '../ids/change-id.js';
import type { DataCentreId } from '../ids/data-centre-id.js';
import type { EndpointId } from '../ids/endpoint-id.js';
import type { Fingerprint } from '../ids/fingerprint.js';
import type { EngineOrder } from '../state/engine-order.js';
import type { FleetConfig } from '../state/fleet-config.js';

/** Identifies the record of a non-idempotent request. */
interface RecordKey {
  account: AccountId;
  key: string;
}

type OperatorCommand = { changeId: ChangeId; operator: string } & (
  | { type: 'applyConfig'; expectedVersion: number; config: FleetConfig }
  | { type: 'takeOutDataCentre'; dataCentre: DataCentreId }
  | { type: 'bringBackDataCentre'; dataCentre: DataCentreId }
  | { type: 'drainEndpoint'; endpoint: EndpointId; draining: boolean }
  | { type: 'liftMark'; fingerprint: Fingerprint }
  | ({ type: 'orderEngine' } & Omit<EngineOrder, 'fencingToken'>)
);

type RecordCommand = RecordKey &
  (
    | {
        type: 'claim';
        bodyHash: string;
        attemptId: AttemptId;
        endpoint: EndpointId;
        incarnation: number;
        /** New for each execution; a repeated claim with the same nonce gets the same result. */
        nonce: string;
      }
    | {
        type: 'complete';
        nonce: string;
        status: number;
        contentType: string;
        /** In base64; absent if the answer is too large to store. */
        answer?: string;
      }
    | { type: 'abandon'; nonce: string; ran: boolean }
    | { type: 'void'; attemptId: AttemptId }
  );

type EndpointCommand =
  | {
      type: 'reportCrash';
      endpoint: EndpointId;
      incarnation: number;
      fingerprints: Fingerprint[];
      /** Differs for each crash, so that a report that is sent twice counts once. */
      crashId?: string;
    }
  | { type: 'clearMark'; fingerprint: Fingerprint }
  | { type: 'takePermit'; endpoint: EndpointId; leaseMs: number }
  | { type: 'releasePermit'; endpoint: EndpointId };

/** Several commands in one log entry, applied in order; the value is the list of their results. */
interface BatchCommand {
  type: 'batch';
  commands: RecordCommand[];
}

/** A change of the replicated state. */
export type Command = OperatorCommand | RecordCommand | EndpointCommand | BatchCommand;
