// Guards against a request whose target is no URL ending the entry.
import { request } from "node:http";
import t from "tap";
import { type ApiHandlers, apiServer } from "./http_api.js";

/** Sends a request whose target is passed on as it is, and returns the status of the response. */
function statusOf(port: number, path: string): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    const sent = request({ host: "127.0.0.1", port, path, agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    sent.on("error", reject);
    sent.end();
  });
}

t.test("apiServer() answers 404 to a target that is no URL", async (t) => {
  const server = apiServer({} as ApiHandlers);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const bound = server.address();
  const port = typeof bound === "object" && bound !== null ? bound.port : 0;
  for (const path of ["//", "///", "/\\", "//a:b/", "http://a:99999/", "/elsewhere"]) {
    t.equal(await statusOf(port, path), 404, path);
  }
});
