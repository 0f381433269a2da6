/**
 * Divides the rate limits of a service's targets between gateways without a central server. Each
 * gateway owns an equal share and lends it for a short time to the one gateway that decides for the
 * service, so that the whole limit can be used wherever the demand is. At any time a share is usable
 * at one gateway only: its owner neither uses it while it is lent nor lends it to a third gateway
 * before the loan has expired. The limit therefore also holds while gateways disagree on who
 * decides, can't reach each other or the store, are paused, or restart.
 */

/** Duration of a loan. Borrowers renew a loan several times within it. */
export const LOAN_MS = 1300;

/** A loan of the gateway's own share to another gateway. */
interface Loan {
  readonly borrower: string;
  /** End by the owner's clock, counted from its answer and so never before the borrower's end. */
  readonly untilMs: number;
}

/** A share borrowed from another gateway. */
interface Borrowed {
  readonly fraction: number;
  /** End by the borrower's clock, counted from when it sent its request. */
  readonly untilMs: number;
}

/** Own and borrowed shares of one gateway. */
export interface LimitShares {
  /**
   * Until this time the own shares are neither used nor lent. Prevents a share from being used at two
   * gateways: the previous incarnation of a gateway that has just started may still have it on loan,
   * and the shares of a gateway that leaves are already divided among the others.
   */
  withheldUntilMs: number;
  /** Loans of the own share, by service. */
  readonly loans: Map<string, Loan>;
  /** Borrowed shares, by service and lending gateway. */
  readonly borrowed: Map<string, Map<string, Borrowed>>;
}

/** Creates the shares of a gateway that starts now. Its own shares are withheld for one loan. */
export function createLimitShares(nowMs: number): LimitShares {
  return { withheldUntilMs: nowMs + LOAN_MS, loans: new Map(), borrowed: new Map() };
}

/** Gives up all own shares of a gateway that leaves, as the others no longer count it. */
export function giveUpShares(shares: LimitShares): void {
  shares.withheldUntilMs = Infinity;
}

/**
 * Lends the own share of a service's limits to `borrower`. Returns the fraction of the limits that
 * is lent, which is 0 while the share is withheld or lent to another gateway.
 *
 * @param gateways - Number of gateways that divide the limits.
 */
export function lendShare(
  { loans, withheldUntilMs }: LimitShares,
  service: string,
  borrower: string,
  gateways: number,
  nowMs: number,
): number {
  const loan = loans.get(service);
  const isLentToOther = loan !== undefined && loan.untilMs > nowMs && loan.borrower !== borrower;
  if (isLentToOther || nowMs < withheldUntilMs) return 0;
  loans.set(service, { borrower, untilMs: nowMs + LOAN_MS });
  return 1 / Math.max(1, gateways);
}

/** Returns the gateway that currently borrows the own share, or null while it is not lent. */
export function borrowerOf({ loans }: LimitShares, service: string, nowMs: number): string | null {
  const loan = loans.get(service);
  return loan !== undefined && loan.untilMs > nowMs ? loan.borrower : null;
}

/**
 * Records what another gateway answered to a request for its share, sent at `askedAtMs`. A fraction
 * of 0 ends an earlier loan.
 */
export function recordBorrowedShare(
  { borrowed }: LimitShares,
  service: string,
  lender: string,
  fraction: number,
  askedAtMs: number,
): void {
  const lenders = borrowed.get(service) ?? new Map<string, Borrowed>();
  borrowed.set(service, lenders);
  if (fraction > 0) lenders.set(lender, { fraction, untilMs: askedAtMs + LOAN_MS });
  else lenders.delete(lender);
}

/** Returns the fraction of a service's limits that this gateway may use now, from 0 to 1. */
export function usableShare(
  shares: LimitShares,
  service: string,
  gateways: number,
  nowMs: number,
): number {
  const isOwnUsable =
    nowMs >= shares.withheldUntilMs && borrowerOf(shares, service, nowMs) === null;
  let share = isOwnUsable ? 1 / Math.max(1, gateways) : 0;
  const lenders = shares.borrowed.get(service);
  for (const [lender, { fraction, untilMs }] of lenders ?? []) {
    if (untilMs > nowMs) share += fraction;
    else lenders?.delete(lender);
  }
  return Math.min(1, share);
}
