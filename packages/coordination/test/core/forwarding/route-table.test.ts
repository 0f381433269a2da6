/** Matches requests to routes and ignores older configurations. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import {
  DeliveryKind,
  type FleetConfiguration,
  type Route,
  chooseService,
  createRouteTable,
  findRoute,
  newerRouteTable,
} from '../../../src/index.js';

function route(host: string, pathPrefix: string, change: Partial<Route> = {}): Route {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: DeliveryKind.Idempotent,
    timeoutMs: 1000,
    targetLatencyMs: 100,
    targetGapMs: 0,
    priority: 0,
    shares: [{ service: 'ramp-portal', weight: 1 }],
    maxAttempts: 2,
    hasPrompts: false,
    resumable: false,
    isOpen: false,
    ...change,
  };
}

function configuration(version: number, routes: readonly Route[]): FleetConfiguration {
  const limits = { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes, services: [], workspaces: null, limits };
}

describe('a route table', () => {
  // One workspace or another service must not change how a service is scheduled.
  it('names the services whose own routes differ in priority', () => {
    const shares = (service: string) => [{ service, weight: 1 }];
    const table = createRouteTable(
      configuration(1, [
        route('a.example', '/1/', { shares: shares('mixed'), priority: 0 }),
        route('a.example', '/2/', { shares: shares('mixed'), priority: 2 }),
        route('a.example', '/3/', { shares: shares('even'), priority: 1 }),
        route('a.example', '/4/', { shares: shares('even'), priority: 1 }),
      ]),
    );
    assert.deepEqual([...table.prioritizedServices], ['mixed']);
  });

  describe('a lookup', () => {
    const table = createRouteTable(
      configuration(1, [
        route('a.example', '/'),
        route('a.example', '/x/'),
        route('a.example', '/x/y/'),
        route('b.example', '/x/'),
      ]),
    );
    const found = (host: string, path: string): string | undefined =>
      findRoute(table, host, path)?.pathPrefix;

    it('returns the route with the longest prefix on the host', () => {
      assert.equal(found('a.example', '/x/y/z'), '/x/y/');
      assert.equal(found('a.example', '/x/yy'), '/x/');
      assert.equal(found('a.example', '/xx'), '/');
      assert.equal(found('b.example', '/x/y/'), '/x/');
    });

    it('returns nothing for another host or a path without a matching prefix', () => {
      assert.equal(found('c.example', '/x/'), undefined);
      assert.equal(found('b.example', '/x'), undefined);
    });

    it('ignores the port, the case of the host and the query', () => {
      assert.equal(found('A.Example:8080', '/x/?q=/x/y/'), '/x/');
    });

    it('agrees with a linear search of all routes', () => {
      const segment = fc.constantFrom('a', 'b', 'ab');
      const prefix = fc
        .array(segment, { maxLength: 3 })
        .map((parts) => `/${parts.map((part) => `${part}/`).join('')}`);
      const path = fc.array(segment, { maxLength: 4 }).map((parts) => `/${parts.join('/')}`);
      fc.assert(
        fc.property(fc.uniqueArray(prefix), path, (prefixes, requested) => {
          const routes = prefixes.map((each) => route('h', each));
          const longest = prefixes
            .filter((each) => requested.startsWith(each))
            .sort((a, b) => b.length - a.length)[0];
          const table = createRouteTable(configuration(1, routes));
          assert.equal(findRoute(table, 'h', requested)?.pathPrefix, longest);
        }),
        { seed: 1 },
      );
    });
  });

  describe('a route with several services', () => {
    it('spreads hashes by weight', () => {
      const shares = [
        { service: 'old', weight: 90 },
        { service: 'new', weight: 10 },
      ];
      const split = route('a.example', '/', { shares });
      const range = 2 ** 32;
      const hashes = Array.from({ length: 1000 }, (_, index) => Math.floor((index * range) / 1000));
      const old = hashes.filter((hash) => chooseService(split, hash) === 'old').length;
      // 900 of 1000, except for the one hash at the boundary.
      assert.ok(Math.abs(old - 900) <= 1);
    });
  });

  // An answer of the store with version 5 arrives after version 7. A process that applies the last
  // arrival returns to version 5, and callers get 404 on a route that they have just used.
  describe('an older version that arrives late', () => {
    it('is ignored', () => {
      const current = newerRouteTable(null, configuration(7, [route('a.example', '/new/')]));
      const after = newerRouteTable(current, configuration(5, []));
      assert.equal(after, current);
    });
  });
});
