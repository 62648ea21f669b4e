//===- Administration.cpp - Health, metrics and timeline routes -----------===//
//
// See Administration.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/Administration.h"

#include <charconv>
#include <system_error>
#include <utility>

namespace figlift::http {

namespace {

constexpr int HexadecimalBase = 16;

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

Result<uint64_t> parseAfterParameter(const Request &Incoming) {
  const std::string After = Incoming.query("after");
  uint64_t Stamp = 0;
  const char *End = After.data() + After.size();
  const auto [Parsed, Problem] =
      std::from_chars(After.data(), End, Stamp, HexadecimalBase);
  if (!After.empty() && (Problem != std::errc{} || Parsed != End))
    return failure(ResultCode::InvalidInput,
                   "found \"" + After +
                       "\"; expected up to 16 hexadecimal digits",
                   "after");
  return Stamp;
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
        const Result<uint64_t> Stamp = parseAfterParameter(Call->request());
        if (!Stamp)
          return Call->replyProblem(Stamp.error());
        Response Timeline;
        Timeline.Body = After(Stamp.value());
        Call->reply(std::move(Timeline));
      }));
  return Routes;
}

} // namespace figlift::http
