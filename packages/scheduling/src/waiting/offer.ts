/**
 * What became of a request that was offered a place: it took one, this request can use none of the
 * free ones, none of its account and urgency may take one, or none is free.
 */
export type Offer = 'taken' | 'unsuited' | 'noShare' | 'noPlace';
