//===- AdminServer.cpp - Admin listener of the agent ----------------------===//
//
// Requests are served from snapshots and never wait for the event loop.
//
//===----------------------------------------------------------------------===//

#include "AdminServer.h"

#include "LibHttp/Administration.h"

namespace figlift::agent {

static http::Route statusRoute(const SnapshotHolder &State) {
  http::Route Route;
  Route.Method = "GET";
  Route.Path = "/status";
  Route.Administrative = true;
  Route.Handle = [&State](const std::shared_ptr<http::Exchange> &Exchange) {
    http::Response Response;
    Response.Body = State.read()->Json;
    Exchange->reply(std::move(Response));
  };
  return Route;
}

Result<std::unique_ptr<http::Server>>
createAdminServer(Context Shared, const SnapshotHolder &State) {
  http::AdministrationHooks Hooks;
  Hooks.Ready = [&State]() -> Result<void> {
    if (const auto Now = State.read(); Now->NotReady)
      return outcome::failure(*Now->NotReady);
    return success();
  };
  Hooks.Metrics = [&Metrics = Shared.Metrics] {
    return Metrics.prometheusText();
  };
  Hooks.TimelineAfter = [&Events = Shared.Events](uint64_t After) {
    return Events.toJson(timeline::Stamp{After});
  };
  auto Routes = http::administrationRoutes(std::move(Hooks));
  Routes.push_back(statusRoute(State));
  http::ServerOptions Options;
  Options.Listen = Shared.Settings.Listen.Admin;
  return http::Server::create(Options, std::move(Routes));
}

} // namespace figlift::agent
