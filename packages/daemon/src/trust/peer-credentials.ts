import type { TlsFiles } from './tls-files.js';

/** Credentials with which a process connects to its peers. */
export interface PeerCredentials {
  /** The first peer key of the settings. */
  key: string;
  /** Set when connections use TLS. */
  tls?: TlsFiles | undefined;
}
