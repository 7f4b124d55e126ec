/** Why a held request is held no longer; `full` is of a request that was not held at all. */
export type HoldEnd = 'released' | 'timeUp' | 'full' | 'stopping' | 'callerLeft';
