/** What a run is played with: how requests are routed, whether they are admitted, who plans. */
import type {
  Admission,
  DemandMeter,
  PlannerView,
  Random,
  RouteDecision,
  RouteRequest,
  Router,
  RouterOptions,
  StartRule,
  RoleOrder,
} from '@cassiamast/coordination';
import type { LiveRequest } from './live-request.js';

/** One entry in a run. */
export interface Entry {
  readonly index: number;
  readonly router: Router;
  readonly admission: Admission<LiveRequest>;
  readonly meter: DemandMeter;
  readonly random: Random;
  /** Counts decisions, for round robin. */
  turn: number;
  pumpScheduled: boolean;
}

/** Chooses where a request goes. */
export type ChooseRoute = (entry: Entry, request: RouteRequest, nowMs: number) => RouteDecision;

/** Chooses which roles to change. */
export type PlanRoles = (view: PlannerView, nowMs: number) => readonly RoleOrder[];

/** A policy under comparison. */
export interface Policy {
  readonly name: string;
  readonly chooseRoute: ChooseRoute;
  /** The rule by which waiting requests start; null sends all at once. */
  readonly startRule: StartRule | null;
  readonly patienceMs: number;
  readonly routerOptions: Partial<RouterOptions>;
  /** Makes the planner of a run; null leaves the roles alone. */
  readonly makePlanner: ((service: string) => PlanRoles) | null;
  /** Whether a writer that changes its role hands its running answers over. */
  readonly movesAnswers: boolean;
  /** Readers at the start; null takes those of the trace. */
  readonly initialReaders: number | null;
}
