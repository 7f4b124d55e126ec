import { readFile } from 'node:fs/promises';
import { RelayError, ResultCode } from '@vanillarelay/core';
import type { PeerCredentials } from './peer-credentials.js';

interface CredentialSettings {
  peerKeys: readonly string[];
  tls?: { certificateFile: string; keyFile: string; caFile: string } | undefined;
}

/** Loads the peer key and the TLS files that the settings name; rejects if one is missing. */
export async function loadPeerCredentials({
  peerKeys,
  tls,
}: CredentialSettings): Promise<PeerCredentials> {
  const [key] = peerKeys;
  if (!key)
    throw new RelayError(ResultCode.invalidSettings, 'peerKeys: at least one key is required');
  if (!tls) return { key };
  const [cert, privateKey, ca] = await Promise.all([
    readPem('tls.certificateFile', tls.certificateFile),
    readPem('tls.keyFile', tls.keyFile),
    readPem('tls.caFile', tls.caFile),
  ]);
  return { key, tls: { cert, key: privateKey, ca } };
}

async function readPem(setting: string, path: string): Promise<Buffer> {
  try {
    return await readFile(path);
  } catch (cause) {
    const { message } = cause as Error;
    throw new RelayError(ResultCode.unreadableFile, `${setting}: ${message}`, { cause });
  }
}
