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

t.test("checkTicket() runs a sequence number once, then joins or replays it", async (t) => {
  const { ticket, tickets } = issueTicket(createTicketRegistry("inc"), NOW);
  const position = { ticket, sequence: 1 };
  t.equal(checkTicket(tickets, position, NOW).kind, "run");
  const running = recordRunning(tickets, position, "q1");
  t.same(checkTicket(running, position, NOW), { kind: "join", queryId: "q1" });
  const finished = recordFinished(running, position, answer(false));
  t.equal(checkTicket(finished, position, NOW).kind, "replay");
});

t.test("checkTicket() runs a sequence number again if its query did not run", async (t) => {
  const { ticket, tickets } = issueTicket(createTicketRegistry("inc"), NOW);
  const position = { ticket, sequence: 1 };
  const refused = recordFinished(recordRunning(tickets, position, "q1"), position, answer(true));
  t.equal(checkTicket(refused, position, NOW).kind, "run");
});

t.test(
  "checkTicket() never runs a sequence number before the window or an expired ticket",
  async (t) => {
    const { ticket, tickets } = issueTicket(createTicketRegistry("inc"), NOW);
    const late = { ticket, sequence: TICKET_WINDOW + 1 };
    const moved = recordFinished(recordRunning(tickets, late, "q1"), late, answer(false));
    t.equal(checkTicket(moved, { ticket, sequence: 1 }, NOW).kind, "cannotTell");
    t.equal(checkTicket(moved, { ticket, sequence: 2 }, { nowMs: 1e9 }).kind, "cannotTell");
  },
);

t.test("checkTicket() redirects a ticket of another incarnation", async (t) => {
  const { ticket } = issueTicket(createTicketRegistry("other"), NOW);
  t.same(checkTicket(createTicketRegistry("inc"), { ticket, sequence: 1 }, NOW), {
    kind: "elsewhere",
    incarnation: "other",
  });
});
