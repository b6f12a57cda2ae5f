/**
 * Runs the effects of entries in a simulation, and delivers queries to them.
 *
 * @module
 */
import { unknownAnswer } from "../entry/answers.js";
import type { EntryEffect } from "../entry/mod.js";
import { ANSWER_MARGIN_MS, type QueryAnswer, type QueryRequest } from "../model/mod.js";
import type { SimulationView } from "./simulation_view.js";
import { REPLY_TIMEOUT_MS, type SoakControl } from "./soak_control.js";
import type { EntryNode } from "./soak_network.js";
import { timerKey } from "./soak_node.js";

/** Receives the answer to a query. */
export type AnswerListener = (answer: QueryAnswer) => void;

type SentCall = Extract<EntryEffect, { readonly kind: "sendCall" }>["call"];

type OwnKind =
  | "setTimer"
  | "clearTimer"
  | "sendCall"
  | "cancelCall"
  | "openPools"
  | "answer"
  | "giveTicket"
  | "forward"
  | "borrow"
  | "replyBorrow";

type Handlers = {
  readonly [K in OwnKind]: (
    node: EntryNode,
    effect: Extract<EntryEffect, { readonly kind: K }>,
  ) => void;
};

/** Runs the effects of all entries. */
export class SoakEntries {
  readonly #simulation: SimulationView;
  readonly #control: SoakControl;
  readonly #answerListeners = new Map<string, AnswerListener>();
  readonly #requests = new Map<string, QueryRequest>();
  readonly #ticketListeners = new Map<string, (ticket: string) => void>();
  readonly #loanListeners = new Map<number, (tokens: number) => void>();

  /**
   * @param simulation - The simulation to act on.
   * @param control - Runs the effects that are common to all daemons.
   */
  constructor(simulation: SimulationView, control: SoakControl) {
    this.#simulation = simulation;
    this.#control = control;
  }

  /**
   * Runs an effect.
   *
   * @param node - The entry.
   * @param effect - The effect.
   */
  run(node: EntryNode, effect: EntryEffect): void {
    if (Object.hasOwn(this.#handlers, effect.kind)) {
      const handler = this.#handlers[effect.kind as OwnKind];
      (handler as (node: EntryNode, effect: EntryEffect) => void)(node, effect);
    } else {
      this.#control.run(node, effect as Parameters<SoakControl["run"]>[1]);
    }
  }

  /**
   * Delivers a query to an entry.
   *
   * @param entry - The entry.
   * @param request - The query.
   * @param options - Whether another entry forwarded the query, and the listener, which is not called if the
   *   entry stops first.
   */
  deliverQuery(
    entry: EntryNode,
    request: QueryRequest,
    { forwarded, listener }: { readonly forwarded: boolean; readonly listener: AnswerListener },
  ): void {
    const queryId = `q${this.#simulation.nextRequestNumber()}`;
    const key = `${entry.self.incarnation} ${queryId}`;
    this.#answerListeners.set(key, listener);
    this.#requests.set(key, request);
    entry.deliver((nowMs) => ({ kind: "queryArrived", nowMs, queryId, request, forwarded }));
  }

  /**
   * Requests a ticket from an entry.
   *
   * @param entry - The entry.
   * @param onTicket - Called with the ticket, unless the entry stops first.
   */
  requestTicket(entry: EntryNode, onTicket: (ticket: string) => void): void {
    const requestId = `t${this.#simulation.nextRequestNumber()}`;
    this.#ticketListeners.set(requestId, onTicket);
    entry.deliver((nowMs) => ({ kind: "ticketWanted", nowMs, requestId }));
  }

  readonly #handlers: Handlers = {
    setTimer: (node, { timer, delayMs }) => {
      node.setTimer(timerKey(timer), delayMs, (nowMs) => ({ ...timer, nowMs }));
    },
    clearTimer: (node, { timer }) => node.clearTimer(timerKey(timer)),
    sendCall: (node, { poolId, call }) => {
      this.#sendToPool(node, poolId, { calls: [call], cancelledCallIds: [] });
    },
    cancelCall: (node, { poolId, callId }) => {
      this.#sendToPool(node, poolId, { calls: [], cancelledCallIds: [callId] });
    },
    openPools: (node, { pools }) => {
      const { network, schedule } = this.#simulation;
      for (const pool of pools) {
        schedule.after(2, () => network.openLink(node, pool.memberId));
      }
    },
    answer: (node, { queryId, answer }) => {
      this.#settle(`${node.self.incarnation} ${queryId}`, answer);
    },
    giveTicket: (_node, { requestId, ticket }) => {
      this.#ticketListeners.get(requestId)?.(ticket);
      this.#ticketListeners.delete(requestId);
    },
    forward: (node, effect) => this.#forward(node, effect),
    borrow: (node, effect) => this.#borrow(node, effect),
    replyBorrow: (_node, { requestId, tokens }) => {
      this.#loanListeners.get(requestId)?.(tokens);
      this.#loanListeners.delete(requestId);
    },
  };

  #settle(key: string, answer: QueryAnswer): void {
    const listener = this.#answerListeners.get(key);
    this.#answerListeners.delete(key);
    this.#requests.delete(key);
    listener?.(answer);
  }

  #sendToPool(
    node: EntryNode,
    poolId: string,
    message: {
      readonly calls: ReadonlyArray<SentCall>;
      readonly cancelledCallIds: ReadonlyArray<string>;
    },
  ): void {
    const entryId = node.self.incarnation;
    this.#simulation.network.sendOnLink(node, poolId, (pool) => {
      pool.deliver((nowMs) => ({ kind: "callsArrived", nowMs, entryId, ...message }));
    });
  }

  #forward(node: EntryNode, effect: Extract<EntryEffect, { readonly kind: "forward" }>): void {
    const { boxes, network, schedule } = this.#simulation;
    const key = `${node.self.incarnation} ${effect.queryId}`;
    const request = this.#requests.get(key);
    const target = boxes.find(({ box }) => box === effect.member.box)?.entry;
    if (request === undefined || target === undefined) {
      return;
    }
    // The real entry stops waiting for the other entry shortly before the caller's deadline.
    schedule.after(request.deadlineMs - ANSWER_MARGIN_MS, () => {
      if (node.isAlive) {
        const message = "Cannot tell whether the query ran: no response";
        this.#settle(key, unknownAnswer(node.state, node.nowMs, message));
      }
    });
    network.send(node.self.box, effect.member.box, () =>
      this.deliverQuery(target, request, {
        forwarded: true,
        listener: (answer) =>
          network.send(effect.member.box, node.self.box, () => this.#settle(key, answer)),
      }),
    );
  }

  #borrow(node: EntryNode, effect: Extract<EntryEffect, { readonly kind: "borrow" }>): void {
    const { boxes, network, schedule } = this.#simulation;
    const { lender, service, tokens } = effect;
    const { box } = node.self;
    let settled = false;
    const settle = (lent: number): void => {
      if (!settled) {
        settled = true;
        node.deliver((nowMs) => ({ kind: "loanArrived", nowMs, service, tokens: lent }));
      }
    };
    schedule.after(REPLY_TIMEOUT_MS, () => settle(0));
    network.send(box, lender.box, () => {
      const requestId = this.#simulation.nextRequestNumber();
      this.#loanListeners.set(requestId, (lent) =>
        network.send(lender.box, box, () => settle(lent)),
      );
      const target = boxes.find((each) => each.box === lender.box)?.entry;
      target?.deliver((nowMs) => ({ kind: "borrowArrived", nowMs, requestId, service, tokens }));
    });
  }
}
