//===- EngineHousekeeping.cpp - Auxiliary tasks around requests -----------===//
//
// See EngineHousekeeping.h.
//
//===----------------------------------------------------------------------===//

#include "EngineHousekeeping.h"

#include "ServerExchange.h"

#include "platform/EngineCalls.h"

namespace figlift::gateway {

namespace {

/// Discards the response; the connection returns to its pool.
class DiscardedResponse : public upstream::ExchangeSink {
public:
  bool belongsToOther(const proxy::ResponseHead &Head) override {
    return slopes::namesRequest(Head);
  }
  void onHead(const proxy::ResponseHead &) override {}
  void onBody(std::string) override {}
  void onEnd(upstream::ExchangeOutcome) override {}
};

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
  startExchange(
      Shared,
      {Engine,
       slopes::targetedCallBytes("DELETE", slopes::releaseHandleTarget(Handle),
                                 *Target, ""),
       std::make_shared<DiscardedResponse>(),
       slopes::isTargetsAnswer,
       {},
       true},
      BootClock::now());
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

} // namespace figlift::gateway
