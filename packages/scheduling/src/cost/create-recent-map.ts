/** Creates a map that keeps the entries which were set last, up to a maximum number. */
export function createRecentMap<Key, Value>(maxSize: number) {
  const entries = new Map<Key, Value>();
  return {
    get: (key: Key): Value | undefined => entries.get(key),
    set: (key: Key, value: Value): void => {
      entries.delete(key);
      entries.set(key, value);
      if (entries.size <= maxSize) return;
      const oldest = entries.keys().next();
      if (!oldest.done) entries.delete(oldest.value);
    },
    remove: (key: Key): void => {
      entries.delete(key);
    },
    forEach: (visit: (value: Value, key: Key) => void): void => entries.forEach(visit),
  };
}
