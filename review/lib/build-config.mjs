/** The limits that the example on the users' pages gives. */
const limits = {
  ...{ MaxHeaderBytes: 16384, MaxBodyBytes: 4194304 },
  ...{ HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
};

export const host = 'ficu95.example';
export const key = 'n2ctnfzs989anu6wsjnb';
const tenant = { Name: 'hule930', ApiKeys: [key], Priority: 1 };

/** Builds an operator's configuration with one tenant. */
export function buildConfig({ version = 7, routes, services, tenants = [tenant] }) {
  return JSON.stringify({
    Version: version,
    Routes: routes.map((route) => ({
      ...{ Authority: host, TimeoutMs: 1000, SloMs: 150, Priority: 2, MaxAttempts: 2 },
      ...{ Public: false, Sticky: false, Resumable: false, ...route },
    })),
    Services: services.map((service) => ({
      ...{ HealthPath: '/health', MaxConnections: 260, Protocol: 'h1', Tls: false },
      ...{ ColdS: 0, ColdPerS: 0, ...service },
    })),
    Limits: limits,
    Tenants: tenants,
  });
}
