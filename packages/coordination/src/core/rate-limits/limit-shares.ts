/**
 * How gateways divide the rate limits of a service's targets without a server that keeps them. Each
 * gateway owns an equal share and lends it, for a moment at a time, to the one gateway that decides
 * for the service, so that all of a limit can be used wherever the demand is. A share is in one
 * place at any time: its owner uses it only while it is not lent, and lends it to nobody else before
 * the loan has ended by itself. So the limit also holds while gateways disagree on who decides, can't
 * reach each other or the store, stand still or start again.
 */

/** How long a share is lent; renewed several times in it. */
export const LOAN_MS = 1300;

/** Where a gateway's own share is. */
interface Loan {
  readonly borrower: string;
  /** By the owner's clock: counted from its answer, so not before the borrower's own end. */
  readonly untilMs: number;
}

/** A share that another gateway has lent. */
interface Borrowed {
  readonly fraction: number;
  /** By the borrower's clock: counted from its question. */
  readonly untilMs: number;
}

/** The shares of one gateway. */
export interface LimitShares {
  /**
   * Until then the own shares are neither used nor lent. Guards against shares that are in two places:
   * those of a gateway that has just started may still be lent by its earlier start, and those of one
   * that leaves are already divided among the others.
   */
  withheldUntilMs: number;
  /** By service. */
  readonly loans: Map<string, Loan>;
  /** By service and the gateway that lends. */
  readonly borrowed: Map<string, Map<string, Borrowed>>;
}

/** The shares of a gateway that starts now. */
export function createLimitShares(nowMs: number): LimitShares {
  return { withheldUntilMs: nowMs + LOAN_MS, loans: new Map(), borrowed: new Map() };
}

/** The gateway leaves: the others no longer count it. */
export function giveUpShares(shares: LimitShares): void {
  shares.withheldUntilMs = Infinity;
}

/**
 * Lends the own share of a service's limits; `gateways` is how many there are. Gives the fraction
 * that is lent, 0 while another gateway has it.
 */
export function lendShare(
  { loans, withheldUntilMs }: LimitShares,
  service: string,
  borrower: string,
  gateways: number,
  nowMs: number,
): number {
  const loan = loans.get(service);
  const isLentElsewhere = loan !== undefined && loan.untilMs > nowMs && loan.borrower !== borrower;
  if (isLentElsewhere || nowMs < withheldUntilMs) return 0;
  loans.set(service, { borrower, untilMs: nowMs + LOAN_MS });
  return 1 / Math.max(1, gateways);
}

/** The gateway that has the own share now; null while it is not lent. */
export function borrowerOf({ loans }: LimitShares, service: string, nowMs: number): string | null {
  const loan = loans.get(service);
  return loan !== undefined && loan.untilMs > nowMs ? loan.borrower : null;
}

/** Another gateway lent its share in answer to a question that was sent at `askedAtMs`. */
export function noteBorrowed(
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

/** The part of a service's limits that this gateway may use now, from 0 to 1. */
export function usableShare(
  shares: LimitShares,
  service: string,
  gateways: number,
  nowMs: number,
): number {
  const isHere = nowMs >= shares.withheldUntilMs && borrowerOf(shares, service, nowMs) === null;
  let share = isHere ? 1 / Math.max(1, gateways) : 0;
  const lenders = shares.borrowed.get(service);
  for (const [lender, { fraction, untilMs }] of lenders ?? []) {
    if (untilMs > nowMs) share += fraction;
    else lenders?.delete(lender);
  }
  return Math.min(1, share);
}
