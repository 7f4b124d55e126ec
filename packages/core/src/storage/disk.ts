/**
 * The files of one data folder. Nothing lasts before `sync`; a new name, a rename or a removal
 * lasts only after `syncFolder`. Every method rejects when the device fails.
 */
export interface Disk {
  /** The whole content; undefined when there is no such file. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Writes at the end, making the file when there is none. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Replaces the content. */
  write(name: string, bytes: Uint8Array): Promise<void>;
  /** Cuts the file to a length in bytes. */
  truncate(name: string, length: number): Promise<void>;
  sync(name: string): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  syncFolder(): Promise<void>;
  remove(name: string): Promise<void>;
  list(): Promise<string[]>;
}
