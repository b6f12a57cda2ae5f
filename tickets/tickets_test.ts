import t from "tap";
import type { QueryAnswer } from "../model/mod.js";
import {
  checkTicket,
  createTicketRegistry,
  issueTicket,
  recordFinished,
  recordRunning,
  TICKET_WINDOW,
} from "./tickets.js";

function answer(notRun: boolean): QueryAnswer {
  return {
    outcome: notRun ? "refused" : "complete",
    notRun,
    statusCode: notRun ? 503 : 200,
    message: "",
    snapshot: "v1",
    coverage: { included: [], lacking: [] },
    rows: [],
    retryAfterMs: 0,
    revision: 1,
    confirmedAgoMs: 0,
  };
}

const NOW = { nowMs: 1_000 };

t.test("judgeTicket() lets a sequence run once, then joins and replays it", async (t) => {
  const { ticket, tickets } = issueTicket(createTicketRegistry("inc"), NOW);
  const place = { ticket, sequence: 1 };
  t.equal(checkTicket(tickets, place, NOW).kind, "run");
  const running = recordRunning(tickets, place, "q1");
  t.same(checkTicket(running, place, NOW), { kind: "join", queryId: "q1" });
  const finished = recordFinished(running, place, answer(false));
  t.equal(checkTicket(finished, place, NOW).kind, "replay");
});

t.test("judgeTicket() lets a sequence that was not run be sent again", async (t) => {
  const { ticket, tickets } = issueTicket(createTicketRegistry("inc"), NOW);
  const place = { ticket, sequence: 1 };
  const refused = recordFinished(recordRunning(tickets, place, "q1"), place, answer(true));
  t.equal(checkTicket(refused, place, NOW).kind, "run");
});

t.test(
  "judgeTicket() never runs a sequence that left the window or an expired ticket",
  async (t) => {
    const { ticket, tickets } = issueTicket(createTicketRegistry("inc"), NOW);
    const late = { ticket, sequence: TICKET_WINDOW + 1 };
    const moved = recordFinished(recordRunning(tickets, late, "q1"), late, answer(false));
    t.equal(checkTicket(moved, { ticket, sequence: 1 }, NOW).kind, "cannotTell");
    t.equal(checkTicket(moved, { ticket, sequence: 2 }, { nowMs: 1e9 }).kind, "cannotTell");
  },
);

t.test("judgeTicket() sends a ticket of another incarnation elsewhere", async (t) => {
  const { ticket } = issueTicket(createTicketRegistry("other"), NOW);
  t.same(checkTicket(createTicketRegistry("inc"), { ticket, sequence: 1 }, NOW), {
    kind: "elsewhere",
    incarnation: "other",
  });
});
