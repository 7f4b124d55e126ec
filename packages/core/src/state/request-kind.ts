/** How requests of one kind may be treated. */
export interface RequestKind {
  /** HTTP methods that belong to the kind. */
  methods: string[];
  /** Paths that begin with this belong to the kind. */
  pathPrefix: string;
  /** Whether running the request twice does no harm. */
  idempotent: boolean;
  /** Whether the request waits for room instead of being refused when there is none. */
  mustArrive: boolean;
  /** 0 is served first, 9 last. */
  priority: number;
  /** Time after which the caller no longer waits, in milliseconds. */
  deadlineMs: number;
}
