/** One event of an engine's prefix cache; a gap in the sequence numbers is a lost event. */
export interface CacheEvent {
  sequence: number;
  type: 'stored' | 'evicted';
  chat: string;
  tokens: number;
}
