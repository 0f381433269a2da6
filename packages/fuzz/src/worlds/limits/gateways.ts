/** What the gateways of the limits world do: borrow shares, ask for permits, send, hear answers. */
import {
  RequestedWork,
  type LimitReport,
  borrowerOf,
  createRateLimiter,
  dropOldLimits,
  limitOf,
  limitReports,
  mergeLimits,
  recordNoLimit,
  recordLimit,
  permitsOf,
} from '@cassiamast/coordination';
import { schedule } from '../../kit/scheduler.js';
import {
  GATEWAY_COUNT,
  SERVICE,
  type SimulatedGateway,
  type Simulation,
  TARGET,
} from './simulation.js';

/** A message takes up to that long; now and then it takes much longer. */
const MESSAGE_MS = 20;
const LATE_MESSAGE_MS = 3000;
const LATE_ONE_IN = 20;
/** From a request to the head of its answer. */
const ANSWER_MS = 40;
/** A gateway that was killed or stood still is excused for so long afterwards. */
const EXCUSED_MS = 4000;

/** A gateway that knows nothing. */
export function createGateway(simulation: Simulation, index: number): SimulatedGateway {
  const limiter = createRateLimiter(simulation.random, simulation.scheduler.nowMs);
  const nowMs = (): number => simulation.scheduler.nowMs;
  const permits = permitsOf(limiter, () => GATEWAY_COUNT, nowMs);
  const times = { frozenUntilMs: 0, excusedUntilMs: 0 };
  return { index, limiter, permits, decider: 0, ...times, life: 1, demandPerS: 0 };
}

/** A gateway loses its memory and starts anew. */
export function kill(simulation: Simulation, gateway: SimulatedGateway): void {
  const fresh = createGateway(simulation, gateway.index);
  gateway.limiter = fresh.limiter;
  gateway.permits = fresh.permits;
  gateway.life += 1;
  excuse(simulation, gateway, simulation.scheduler.nowMs);
}

/** A gateway stands still; what was sent to it waits. */
export function freeze(simulation: Simulation, gateway: SimulatedGateway, forMs: number): void {
  gateway.frozenUntilMs = simulation.scheduler.nowMs + forMs;
  excuse(simulation, gateway, gateway.frozenUntilMs);
}

function excuse(_: Simulation, gateway: SimulatedGateway, fromMs: number): void {
  gateway.excusedUntilMs = Math.max(gateway.excusedUntilMs, fromMs + EXCUSED_MS);
}

/** Does something at a gateway later: after the message's way, and not while it stands still. */
function deliver(
  simulation: Simulation,
  from: SimulatedGateway,
  to: SimulatedGateway,
  run: () => void,
): void {
  const { scheduler, random, cut } = simulation;
  if (cut.has(`${String(from.index)}/${String(to.index)}`)) return;
  const isLate = random() * LATE_ONE_IN < 1;
  const { life } = to;
  schedule(scheduler, random() * (isLate ? LATE_MESSAGE_MS : MESSAGE_MS), () => {
    const frozenMs = Math.max(0, to.frozenUntilMs - scheduler.nowMs);
    schedule(scheduler, frozenMs, () => {
      if (to.life === life) run();
    });
  });
}

/** The gateway that decides borrows all shares anew; the others tell it what they know. */
export function renew(simulation: Simulation, gateway: SimulatedGateway): void {
  const nowMs = simulation.scheduler.nowMs;
  if (gateway.frozenUntilMs > nowMs) return;
  const { limits } = gateway.limiter;
  dropOldLimits(limits, nowMs);
  const reports = limitReports(limits, SERVICE, nowMs);
  if (reports.length === 0) return;
  for (const other of simulation.gateways) {
    if (other === gateway) continue;
    if (gateway.decider === gateway.index) borrow(simulation, gateway, other, reports);
    else if (other.index === gateway.decider) tell(simulation, gateway, other, reports);
  }
}

function borrow(
  simulation: Simulation,
  borrower: SimulatedGateway,
  lender: SimulatedGateway,
  reports: readonly LimitReport[],
): void {
  const { scheduler, options } = simulation;
  const askedAtMs = scheduler.nowMs;
  deliver(simulation, borrower, lender, () => {
    const { shares, limits } = lender.limiter;
    mergeLimits(limits, reports, scheduler.nowMs);
    const isDecider = lender.decider === borrower.index;
    const fraction = isDecider
      ? options.lend(shares, SERVICE, String(borrower.index), GATEWAY_COUNT, scheduler.nowMs)
      : 0;
    const known = limitReports(limits, SERVICE, scheduler.nowMs);
    deliver(simulation, lender, borrower, () => {
      mergeLimits(borrower.limiter.limits, known, scheduler.nowMs);
      const from = String(lender.index);
      options.noteBorrowed(borrower.limiter.shares, SERVICE, from, fraction, askedAtMs);
    });
  });
}

function tell(
  simulation: Simulation,
  from: SimulatedGateway,
  decider: SimulatedGateway,
  reports: readonly LimitReport[],
): void {
  deliver(simulation, from, decider, () => {
    mergeLimits(decider.limiter.limits, reports, simulation.scheduler.nowMs);
  });
}

/** A caller's request at a gateway: it is sent where there is a permit. */
export function request(simulation: Simulation, gateway: SimulatedGateway): void {
  const nowMs = simulation.scheduler.nowMs;
  if (gateway.frozenUntilMs > nowMs) return;
  if (limitOf(gateway.limiter.limits, TARGET.id, nowMs) === null) {
    send(simulation, gateway);
    return;
  }
  const borrower = borrowerOf(gateway.limiter.shares, SERVICE, nowMs);
  const holder = borrower === null ? gateway : simulation.gateways[Number(borrower)];
  if (holder === undefined) return;
  if (holder === gateway) {
    takePermit(gateway, () => {
      send(simulation, gateway);
    });
    return;
  }
  const reports = limitReports(gateway.limiter.limits, SERVICE, nowMs);
  deliver(simulation, gateway, holder, () => {
    mergeLimits(holder.limiter.limits, reports, simulation.scheduler.nowMs);
    takePermit(holder, () => {
      deliver(simulation, holder, gateway, () => {
        send(simulation, gateway);
      });
    });
  });
}

function takePermit({ permits }: SimulatedGateway, run: () => void): void {
  if (!permits.has(TARGET.id)) return;
  permits.take(TARGET.id);
  run();
}

function send(simulation: Simulation, gateway: SimulatedGateway): void {
  const { scheduler } = simulation;
  const sentAtMs = scheduler.nowMs;
  const { life } = gateway;
  simulation.arrivals.push({ atMs: sentAtMs, isExcused: sentAtMs < gateway.excusedUntilMs });
  const { limitPerS } = simulation;
  schedule(scheduler, ANSWER_MS, () => {
    if (gateway.life !== life) return;
    simulation.answers += 1;
    const answer = { work: RequestedWork.Run, sentAtMs, origin: String(simulation.answers) };
    const { limits } = gateway.limiter;
    if (limitPerS === null) recordNoLimit(limits, TARGET, answer, scheduler.nowMs);
    else recordLimit(limits, TARGET, limitPerS, answer, scheduler.nowMs);
  });
}
