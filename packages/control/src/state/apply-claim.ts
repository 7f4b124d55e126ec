import { ResultCode, type CommandResult, type RecordView } from '@vanillarelay/core';
import { buildRecordView } from './build-record-view.js';
import { buildRefusal } from './build-refusal.js';
import { closeNonce } from './close-nonce.js';
import type { CommandOf } from './command-of.js';
import type { FleetState } from './fleet-state.js';
import type { RequestRecord } from './request-record.js';
import { updateRecord } from './update-record.js';
import type { Stamp } from './stamp.js';
import { updateIncarnation } from './update-incarnation.js';

const refusals: Record<RecordView['status'], { code: ResultCode; message: string }> = {
  running: { code: ResultCode.alreadyRunning, message: 'the request is running' },
  done: { code: ResultCode.alreadyDone, message: 'the request has been answered' },
  unkept: { code: ResultCode.answerNotKept, message: 'the request ran, its answer is not kept' },
  unknown: { code: ResultCode.outcomeUnknown, message: 'the request may have run' },
};

/** Grants the right to run a request to the first claim; a repeat of that claim is granted too. */
export function applyClaim(
  state: FleetState,
  key: string,
  command: CommandOf<'claim'>,
  { index, at }: Stamp,
): CommandResult {
  const { bodyHash, attemptId, endpoint, incarnation, nonce } = command;
  updateIncarnation(state, endpoint, incarnation);
  const record: RequestRecord = state.records.get(key) ?? { status: 'open', at };
  const view = buildRecordView(state, record);
  // Only the agent that got the grant knows the nonce, and it runs a request once per nonce.
  if (view && record.nonce === nonce) return { ok: true, index, value: { granted: true } };
  const refusal = findRefusal(record, command, view);
  if (refusal) {
    updateRecord(state, key, closeNonce(record, nonce));
    return refusal;
  }
  const { voided, closedNonces } = record;
  updateRecord(state, key, {
    status: 'running',
    at,
    bodyHash,
    endpoint,
    incarnation,
    nonce,
    attemptId,
    ...(voided ? { voided } : {}),
    ...(closedNonces ? { closedNonces } : {}),
  });
  return { ok: true, index, value: { granted: true } };
}

function findRefusal(
  record: RequestRecord,
  { bodyHash, attemptId, nonce }: CommandOf<'claim'>,
  view: RecordView | undefined,
): CommandResult | undefined {
  const details = view ? { record: view } : undefined;
  if (record.bodyHash !== undefined && record.bodyHash !== bodyHash) {
    const message = 'the key was used with another body';
    return buildRefusal(ResultCode.idempotencyKeyReused, message);
  }
  if (record.voided?.includes(attemptId)) {
    return buildRefusal(ResultCode.attemptVoided, 'the attempt has been voided', details);
  }
  if (view) return buildRefusal(refusals[view.status].code, refusals[view.status].message, details);
  if (record.closedNonces?.includes(nonce)) {
    return buildRefusal(ResultCode.attemptVoided, 'the claim was given up or refused before');
  }
  return undefined;
}
