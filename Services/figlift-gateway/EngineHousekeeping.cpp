//===- EngineHousekeeping.cpp - Small duties beside requests --------------===//
//
// See EngineHousekeeping.h.
//
//===----------------------------------------------------------------------===//

#include "EngineHousekeeping.h"

#include "platform/EngineCalls.h"

namespace figlift::gateway {

namespace {

/// Nobody waits for the answer; the connection goes back to its pool.
class IgnoredAnswer : public upstream::ExchangeSink {
public:
  void onHead(const proxy::ResponseHead &) override {}
  void onBody(std::string) override {}
  void onEnd(upstream::ExchangeEnd) override {}
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
  const auto Pool = Shared.Pools.find(Engine);
  const dispatch::Target *Which = Shared.Targets.find(Engine);
  if (Pool == Shared.Pools.end() || !Which)
    return;
  const BootTime Now = BootClock::now();
  if (const auto Connection = Pool->second->take(Now)) {
    Shared.Limits.recordSend(Engine, Now);
    Connection->exchange(slopes::callBytes("DELETE",
                                           slopes::releaseHandleTarget(Handle),
                                           Which->Address.toString(), ""),
                         true, std::make_shared<IgnoredAnswer>());
  }
}

void noteRequestEnd(Context &Shared, const dispatch::Route &Which,
                    std::string_view Outcome, dispatch::Milliseconds First) {
  const metrics::Labels Labels = {{"kind", kindName(Which.Kind)},
                                  {"priority", std::to_string(Which.Priority)},
                                  {"outcome", std::string(Outcome)}};
  Shared.Metrics
      .counter("figlift_gateway_requests_total", "Requests that ended", Labels)
      .add();
  Shared.Metrics
      .summary("figlift_gateway_first_byte_seconds",
               "From a request to the first part of its answer", Labels)
      .observe(std::chrono::duration_cast<std::chrono::nanoseconds>(First));
}

} // namespace figlift::gateway
