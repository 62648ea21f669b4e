//===- TestStreamMetrics.cpp - Metrics of pauses between events -----------===//
//
// Expected pauses of decode engines, and the counters.
//
//===----------------------------------------------------------------------===//

#include "figlift-gateway/StreamMetrics.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::gateway;

TEST_GROUP(StreamMetrics) {
  metrics::Registry Registry;
  StreamMetrics Streams{Registry};
  BootTime Now{std::chrono::seconds(100)};

  bool shows(const std::string &Line) {
    return Registry.prometheusText().find(Line) != std::string::npos;
  }
};

// Failure: an operator cannot tell streams that were late by this process from
// those that were late by a server.
TEST(StreamMetrics, CountsLatePausesByTheirCause) {
  Streams.recordLatePause(true);
  Streams.recordLatePause(false);
  Streams.recordLatePause(false);
  Streams.recordExchangeOrder("s");
  CHECK(shows("figlift_gateway_late_pauses_total{own_delay=\"true\"} 1"));
  CHECK(shows("figlift_gateway_late_pauses_total{own_delay=\"false\"} 2"));
  CHECK(shows("figlift_gateway_exchange_orders_total{service=\"s\"} 1"));
}

// Failure: prefill engines, or engines without a measurement, hide the worst
// decode engine or lower the median.
TEST(StreamMetrics, ShowsTheWorstAndTheMedianDecodeEngine) {
  std::vector<dispatch::Target> Targets(5);
  std::vector<const dispatch::Target *> Engines;
  dispatch::StreamPaces Paces;
  const double Intervals[] = {20, 30, 80, 500, 0};
  for (size_t At = 0; At < Targets.size(); ++At) {
    Targets[At].Id = "e" + std::to_string(At);
    Targets[At].EngineStage =
        At == 3 ? dispatch::Stage::Prefill : dispatch::Stage::Decode;
    Engines.push_back(&Targets[At]);
    if (Intervals[At] > 0)
      Paces.recordInterval(Targets[At].Id,
                           dispatch::Milliseconds(Intervals[At]), 100, Now);
  }
  // Without ended streams the longest pause is twice the interval.
  DOUBLES_EQUAL(0.16, StreamMetrics::expectedPause("s", Engines, Paces, 1, Now),
                1e-6);
  DOUBLES_EQUAL(
      0.06, StreamMetrics::expectedPause("s", Engines, Paces, 0.5, Now), 1e-6);
  DOUBLES_EQUAL(0, StreamMetrics::expectedPause("s", {}, Paces, 1, Now), 0);
}
