/** One event of an engine's prefix cache; a missing sequence number is a lost event. */
export interface CacheEvent {
  sequence: number;
  type: 'stored' | 'evicted';
  chat: string;
  tokens: number;
}
