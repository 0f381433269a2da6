/** Tests the delay and the freezing of load reports. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createLoadReports,
  newestVisibleReport,
  recordReport,
} from '../../../src/core/engine/load-report.js';

const FIGURES = {
  running_requests: 1,
  waiting_requests: 0,
  waiting_prefill_tokens: 0,
  running_context_tokens: 0,
  kv_used_tokens: 0,
  kv_capacity_tokens: 0,
  step_ms: 0,
};

describe('load reports', () => {
  it('return the newest report that is old enough', () => {
    const reports = createLoadReports();
    for (const atMs of [0, 100, 200, 300]) {
      recordReport(reports, 'e', { ...FIGURES, running_requests: atMs }, atMs);
    }
    assert.equal(newestVisibleReport(reports, 150, 300)?.running_requests, 100);
    assert.equal(newestVisibleReport(reports, 150, 360)?.running_requests, 200);
  });

  it('stay the same while frozen', () => {
    const reports = createLoadReports();
    recordReport(reports, 'e', FIGURES, 0);
    reports.frozen = true;
    recordReport(reports, 'e', FIGURES, 100);
    assert.equal(newestVisibleReport(reports, 0, 1_000)?.sequence, 1);
  });
});
