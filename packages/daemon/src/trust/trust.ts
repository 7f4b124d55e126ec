import type { TlsFiles } from './tls-files.js';

/** What a process presents to its peers. */
export interface Trust {
  /** The first of the accepted keys. */
  key: string;
  /** Set when connections use TLS. */
  tls?: TlsFiles | undefined;
}
