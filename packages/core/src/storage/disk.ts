/**
 * The files of one data folder. Written data is durable only after `sync`; a new, renamed or
 * removed file only after `syncFolder`. Every method rejects when the device fails.
 */
export interface Disk {
  /** Returns the complete content; undefined if the file does not exist. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Appends to the file, or creates it if it does not exist. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Replaces the content. */
  write(name: string, bytes: Uint8Array): Promise<void>;
  /** Truncates the file to a length in bytes. */
  truncate(name: string, length: number): Promise<void>;
  sync(name: string): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  syncFolder(): Promise<void>;
  remove(name: string): Promise<void>;
  list(): Promise<string[]>;
  /** Closes the files that were kept open; nothing may be called afterwards. */
  close(): Promise<void>;
}
