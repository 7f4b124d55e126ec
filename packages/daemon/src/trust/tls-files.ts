/** Contents of the PEM files that the settings name. */
export interface TlsFiles {
  cert: Buffer;
  key: Buffer;
  ca: Buffer;
}
