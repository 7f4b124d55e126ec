/** How requests of one kind are handled. */
export interface RequestKind {
  /** HTTP methods of the kind. */
  methods: string[];
  /** Paths that start with this prefix belong to the kind. */
  pathPrefix: string;
  /** Whether a request may safely run twice. */
  idempotent: boolean;
  /** Whether a request waits for capacity instead of being refused for lack of it. */
  mustArrive: boolean;
  /** 0 is served first, 9 last. */
  priority: number;
  /** Time after which the caller stops waiting, in milliseconds. */
  deadlineMs: number;
}
