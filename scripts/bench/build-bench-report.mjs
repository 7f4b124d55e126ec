const incarnation = 1_700_000_000_000;
const accountsPerReport = 20;
const usagePerAccount = 2;

/** Builds report number `sequence` of an entry or agent, without the fields that a link adds. */
export default function buildBenchReport(role, index, sequence, accounts) {
  const id = `${role}-${index}`;
  const common = { vm: `vm-${id}`, dataCentre: 'lahore', address: '10.0.0.1:7200', incarnation };
  const daemon = { ...common, daemon: id, role };
  if (role === 'agent') {
    const service = 'service-0';
    const load = { status: 'ready', slots: 16, sequence, running: sequence % 12 };
    return { ...daemon, services: [service], announcement: { ...common, id, service, ...load } };
  }
  const usage = Array.from({ length: Math.min(accounts, accountsPerReport) }, (_, i) => [
    `account-${(sequence * 7 + i) % accounts}`,
    usagePerAccount,
  ]);
  return { ...daemon, usage: Object.fromEntries(usage) };
}
