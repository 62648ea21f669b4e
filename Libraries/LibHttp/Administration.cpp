//===- Administration.cpp - Health, metrics and time line routes ----------===//
//
// See Administration.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/Administration.h"

#include <charconv>
#include <utility>

namespace figlift::http {

namespace {

Route administrativeRoute(std::string Path, Handler Handle) {
  return Route{.Method = "GET",
               .Path = std::move(Path),
               .Prefix = false,
               .Handle = std::move(Handle),
               .Administrative = true};
}

Response text(std::string Body) {
  return Response{.Status = 200,
                  .ContentType = "text/plain; version=0.0.4; charset=utf-8",
                  .Body = std::move(Body),
                  .Headers = {}};
}

uint64_t sequenceAfter(const Request &Asked) {
  const std::string After = Asked.query("after");
  uint64_t Sequence = 0;
  std::from_chars(After.data(), After.data() + After.size(), Sequence);
  return Sequence;
}

} // namespace

std::vector<Route> administrationRoutes(AdministrationHooks Hooks) {
  std::vector<Route> Routes;
  Routes.push_back(
      administrativeRoute("/healthz", [](std::shared_ptr<Exchange> Call) {
        Call->reply(text("ok\n"));
      }));
  Routes.push_back(administrativeRoute(
      "/readyz",
      [Ready = std::move(Hooks.Ready)](std::shared_ptr<Exchange> Call) {
        if (const Result<void> State = Ready(); !State)
          return Call->replyProblem(State.error());
        Call->reply(text("ready\n"));
      }));
  Routes.push_back(administrativeRoute(
      "/metrics",
      [Metrics = std::move(Hooks.Metrics)](std::shared_ptr<Exchange> Call) {
        Call->reply(text(Metrics()));
      }));
  Routes.push_back(administrativeRoute(
      "/timeline",
      [After = std::move(Hooks.TimelineAfter)](std::shared_ptr<Exchange> Call) {
        Response Answer;
        Answer.Body = After(sequenceAfter(Call->request()));
        Call->reply(std::move(Answer));
      }));
  return Routes;
}

} // namespace figlift::http
