// The operator's configuration of the cases.
const HOST = 'ficu95.example';
export const ENGINES = 'inspect-llm';
export const PORTAL = 'ramp-portal';

export function route(name, pathPrefix, change = {}) {
  return {
    name,
    hostname: HOST,
    pathPrefix,
    routeType: 'idempotent',
    service: PORTAL,
    timeoutMs: 1000,
    targetLatencyMs: 193,
    priority: 2,
    maxAttempts: 2,
    ...change,
  };
}

export function streamRoute(name, pathPrefix, change = {}) {
  return route(name, pathPrefix, {
    routeType: 'streaming',
    service: ENGINES,
    timeoutMs: 6000,
    targetLatencyMs: 800,
    targetGapMs: 300,
    sessionAffinity: true,
    resumable: true,
    maxAttempts: 2,
    ...change,
  });
}

export function document(version, extraRoutes = []) {
  const engine = {
    slots: 64,
    kvCapacity: 453729,
    kvTokenBytes: 18432,
    linkMbps: 370000,
    kvRetentionS: 5,
  };
  return {
    version,
    routes: [
      route('report-fetch', '/fetch/'),
      route('photo-upload', '/upload/', { routeType: 'non_idempotent', maxAttempts: 1 }),
      streamRoute('records-audit', '/audit/'),
      streamRoute('return-condition-check', '/check/', {
        resumable: false,
        maxAttempts: 1,
        timeoutMs: 4000,
        targetLatencyMs: 600,
        priority: 1,
      }),
      ...extraRoutes,
    ],
    services: [
      { name: ENGINES, maxConnections: 370, engine },
      { name: PORTAL, maxConnections: 110 },
    ],
    limits: {
      maxHeaderBytes: 32768,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 20000,
    },
  };
}
