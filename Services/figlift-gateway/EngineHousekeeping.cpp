//===- EngineHousekeeping.cpp - Auxiliary tasks around requests -----------===//
//
// See EngineHousekeeping.h.
//
//===----------------------------------------------------------------------===//

#include "EngineHousekeeping.h"

#include "ControlCall.h"
#include "ServerExchange.h"

#include "platform/EngineCalls.h"

namespace figlift::gateway {

namespace {

/// An engine that does not answer keeps the KV cache until it expires.
constexpr std::chrono::milliseconds ReleaseTimeout{1500};

std::string kindName(dispatch::RouteKind Kind) {
  switch (Kind) {
  case dispatch::RouteKind::Safe:
    return "safe";
  case dispatch::RouteKind::Unsafe:
    return "unsafe";
  case dispatch::RouteKind::Streaming:
    return "streaming";
  }
  return "unknown";
}

} // namespace

void releaseKvCache(Context &Shared, const std::string &Engine,
                    const std::string &Handle) {
  const dispatch::Target *Target = Shared.Targets.find(Engine);
  if (!Target)
    return;
  const auto Start = [&](std::shared_ptr<upstream::ExchangeSink> Sink) {
    return startExchange(
        Shared,
        // On any connection: nobody reads the answer, so a late copy of another
        // one does no harm.
        {.TargetId = Engine,
         .Bytes = slopes::targetedCallBytes(
             "DELETE", slopes::releaseHandleTarget(Handle), *Target, ""),
         .Sink = std::move(Sink),
         .IsServersAnswer = slopes::isTargetsAnswer,
         .IsCall = true},
        BootClock::now());
  };
  startControlCall(Shared, Start, ReleaseTimeout,
                   [](unsigned, const std::string &) {});
}

void recordRequestEnd(Context &Shared, const dispatch::Route &Route,
                      std::string_view Outcome,
                      dispatch::Milliseconds FirstByte) {
  const metrics::Labels Labels = {{"kind", kindName(Route.Kind)},
                                  {"priority", std::to_string(Route.Priority)},
                                  {"outcome", std::string(Outcome)}};
  Shared.Metrics
      .counter("figlift_gateway_requests_total", "Requests that ended", Labels)
      .add();
  Shared.Metrics
      .summary("figlift_gateway_first_byte_seconds",
               "From a request to the first part of its answer", Labels)
      .observe(std::chrono::duration_cast<std::chrono::nanoseconds>(FirstByte));
}

void recordRefusal(Context &Shared,
                   std::optional<dispatch::NotRunBasis> Basis) {
  Shared.Metrics
      .counter(
          "figlift_gateway_refusals_total",
          "Requests answered as not run, by what that rests on",
          {{"basis", std::string(Basis ? dispatch::describe(*Basis) : "none")}})
      .add();
}

void recordUnprovenRejection(Context &Shared, unsigned Status) {
  Shared.Metrics
      .counter("figlift_gateway_unproven_rejections_total",
               "Failures of servers whose status says that the request has not "
               "run, without the statement that it has not",
               {{"status", std::to_string(Status)}})
      .add();
}

} // namespace figlift::gateway
