import { ResultCode, type Command, type CommandResult } from '@vanillarelay/core';
import { applyClaim } from './apply-claim.js';
import { buildRecordView } from './build-record-view.js';
import { buildRefusal } from './build-refusal.js';
import type { CommandOf } from './command-of.js';
import { closeNonce } from './close-nonce.js';
import type { FleetState } from './fleet-state.js';
import { hashRecordKey } from './hash-record-key.js';
import type { RequestRecord } from './request-record.js';
import { updateRecord } from './update-record.js';
import type { Stamp } from './stamp.js';

type RecordCommand = Extract<Command, { type: 'claim' | 'complete' | 'abandon' | 'void' }>;

/** Larger answers are not stored. */
const maxAnswerBytes = 64 * 1024;
/** Base64 characters per byte. */
const base64Ratio = 4 / 3;

/** Applies a command on the record of a non-idempotent request. */
export function applyRecordCommand(
  state: FleetState,
  command: RecordCommand,
  stamp: Stamp,
): CommandResult {
  const key = `${command.account}\n${command.key}`;
  const record = state.records.get(key);
  if (!record && state.tombstones.has(hashRecordKey(key))) return refuseExpired(command, stamp);
  switch (command.type) {
    case 'claim':
      return applyClaim(state, key, command, stamp);
    case 'complete':
      return applyComplete(state, key, command, stamp);
    case 'abandon':
      return applyAbandon(state, key, command, stamp);
    default:
      return applyVoid(state, key, command, stamp);
  }
}

/** Refuses a command on an expired record; a void succeeds, since every claim is refused. */
function refuseExpired({ type }: RecordCommand, { index }: Stamp): CommandResult {
  const view = { status: 'unknown', bodyHash: '' };
  if (type === 'void') return { ok: true, index, value: { record: view } };
  const message = 'the record of this key has expired, the outcome is no longer known';
  return buildRefusal(ResultCode.recordExpired, message, { record: view });
}

function applyComplete(
  state: FleetState,
  key: string,
  { nonce, status, contentType, answer }: CommandOf<'complete'>,
  { index, at }: Stamp,
): CommandResult {
  const record = state.records.get(key);
  if (!record || record.nonce !== nonce || record.status === 'open') return refuseNonce();
  if (record.status === 'done' || record.status === 'unkept') return { ok: true, index };
  const isKept = answer !== undefined && answer.length <= maxAnswerBytes * base64Ratio + 4;
  updateRecord(state, key, {
    ...record,
    status: isKept ? 'done' : 'unkept',
    at,
    ...(isKept ? { answer: { status, contentType, body: answer } } : {}),
  });
  return { ok: true, index };
}

/** Releases a claim: the request did not run, or its outcome will never be known. */
function applyAbandon(
  state: FleetState,
  key: string,
  { nonce, ran }: CommandOf<'abandon'>,
  { index, at }: Stamp,
): CommandResult {
  const record: RequestRecord = state.records.get(key) ?? { status: 'open', at };
  if (record.nonce !== nonce || record.status === 'open') {
    if (ran) return refuseNonce();
    // The claim may still be in transit; closing its nonce keeps it from being granted later.
    updateRecord(state, key, closeNonce(record, nonce));
    return { ok: true, index };
  }
  if (record.status === 'unknown' && ran) return { ok: true, index };
  if (record.status !== 'running') return refuseNonce();
  updateRecord(
    state,
    key,
    ran
      ? { ...record, status: 'unknown', at }
      : { ...closeNonce(record, nonce), status: 'open', at },
  );
  return { ok: true, index };
}

/** Voids an attempt that has no grant; from then on its claims are refused. */
function applyVoid(
  state: FleetState,
  key: string,
  { attemptId }: CommandOf<'void'>,
  { index, at }: Stamp,
): CommandResult {
  const record: RequestRecord = state.records.get(key) ?? { status: 'open', at };
  const view = buildRecordView(state, record);
  if (view && record.attemptId === attemptId) {
    const message = 'the attempt has been granted, so it may have run';
    return buildRefusal(ResultCode.alreadyRunning, message, { record: view });
  }
  const voided = record.voided ?? [];
  if (!voided.includes(attemptId)) {
    updateRecord(state, key, { ...record, voided: [...voided, attemptId] });
  }
  return { ok: true, index, ...(view ? { value: { record: view } } : {}) };
}

function refuseNonce(): CommandResult {
  return buildRefusal(ResultCode.unknownTarget, 'no unfinished claim has this nonce');
}
