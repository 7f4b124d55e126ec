/** Requests of one urgency and account, as `urgency account`; `*` stands for the other accounts. */
export type DemandGroup = `${number} ${string}`;
