//===- TestRegistered.cpp - Metrics and their text format ----------*- C++
//-*-===//
//
// Quantiles of known distributions, updates from several threads, and the
// Prometheus text format.
//
//===----------------------------------------------------------------------===//

#include "LibMetrics/ProcessMetrics.h"
#include "LibMetrics/Registry.h"

#include <cmath>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::metrics;
using std::chrono::seconds;

TEST_GROUP(Metrics) {
  BootTime Now{seconds(1000)};
  /// Allocated separately because CppUTest creates test groups with its own
  /// operator new, which ignores the alignment to cache lines.
  std::unique_ptr<Summary> Storage =
      std::make_unique<Summary>(seconds(60), [this] { return Now; });
  Summary &Values = *Storage;

  void expectNear(double Expected, double Actual, double Tolerance) {
    DOUBLES_EQUAL(Expected, Actual, Tolerance);
  }
};

TEST(Metrics, QuantilesOfFewValuesAreExact) {
  // Guards against wrong latencies in the first seconds of a process: the
  // estimate is undefined for fewer values than it has markers.
  CHECK(std::isnan(Values.read().Quantiles[0]));
  for (double Value : {5., 1., 4., 2., 3.})
    Values.observe(Value);
  auto Snapshot = Values.read();
  LONGS_EQUAL(5, Snapshot.Count);
  expectNear(15, Snapshot.Sum, 0);
  expectNear(3, Snapshot.Quantiles[0], 0);
  expectNear(5, Snapshot.Quantiles[2], 0);
}

TEST(Metrics, QuantilesOfManyValuesAreClose) {
  std::mt19937_64 Random(3);
  std::exponential_distribution<double> Latency(1.0);
  for (int I = 0; I < 100000; ++I)
    Values.observe(Latency(Random));
  auto Snapshot = Values.read();
  // Quantiles of the exponential distribution are -ln(1 - p).
  expectNear(0.693, Snapshot.Quantiles[0], 0.03);
  expectNear(2.303, Snapshot.Quantiles[1], 0.1);
  expectNear(4.605, Snapshot.Quantiles[2], 0.3);
}

TEST(Metrics, OldValuesDoNotAffectTheQuantiles) {
  // Guards against a past slow minute that still affects the reported latency.
  for (int I = 0; I < 1000; ++I)
    Values.observe(100);
  expectNear(100, Values.read().Quantiles[0], 1);
  for (int Minute = 0; Minute < 2; ++Minute) {
    Now += seconds(31);
    for (int I = 0; I < 1000; ++I)
      Values.observe(1);
    Values.read();
  }
  expectNear(1, Values.read().Quantiles[2], 0.1);
  Now += seconds(121);
  CHECK(std::isnan(Values.read().Quantiles[0]));
  LONGS_EQUAL(3000, Values.read().Count);
}

TEST(Metrics, ConcurrentUpdatesAreNotLost) {
  Registry Registered;
  Counter &Count = Registered.counter("requests_total", "Requests.");
  Summary &Times = Registered.summary("seconds", "Time.");
  {
    std::vector<std::jthread> Threads;
    for (int I = 0; I < 4; ++I)
      Threads.emplace_back([&] {
        for (int J = 0; J < 10000; ++J) {
          Count.add();
          Times.observe(1.0);
        }
      });
    while (Count.value() < 20000)
      Times.read();
  }
  expectNear(40000, Count.value(), 0);
  LONGS_EQUAL(40000, Times.read().Count);
}

TEST(Metrics, FormatsPrometheusText) {
  Registry Registered;
  Registered.counter("refused_total", "Refusals.", {{"code", "201"}}).add(2);
  Registered.counter("refused_total", "ignored", {{"code", "201"}}).add(1);
  Registered.gauge("odd", "A \\ and\na break.", {{"name", "a\"b\\c\nd"}})
      .set(-1.5);
  Registered.summary("wait_seconds", "Wait.")
      .observe(std::chrono::milliseconds(250));
  Registered.registerGauge("read", "Read late.", [] { return 7.0; });
  STRCMP_EQUAL("# HELP odd A \\\\ and\\na break.\n"
               "# TYPE odd gauge\n"
               "odd{name=\"a\\\"b\\\\c\\nd\"} -1.5\n"
               "# HELP read Read late.\n"
               "# TYPE read gauge\n"
               "read 7\n"
               "# HELP refused_total Refusals.\n"
               "# TYPE refused_total counter\n"
               "refused_total{code=\"201\"} 3\n"
               "# HELP wait_seconds Wait.\n"
               "# TYPE wait_seconds summary\n"
               "wait_seconds{quantile=\"0.5\"} 0.25\n"
               "wait_seconds{quantile=\"0.9\"} 0.25\n"
               "wait_seconds{quantile=\"0.99\"} 0.25\n"
               "wait_seconds_sum 0.25\n"
               "wait_seconds_count 1\n",
               Registered.prometheusText().c_str());
}

TEST(Metrics, ReportsProcessMetrics) {
  Registry Registered;
  registerProcessMetrics(Registered);
  registerControlBytes(Registered, [] { return uint64_t{5'000'000'000}; });
  Counter &Control = controlCpuSeconds(Registered);
  {
    ControlCpuScope Scope(Control);
    volatile double Work = 0;
    for (int I = 0; I < 2'000'000; ++I)
      Work = Work + 1;
  }
  CHECK(Control.value() > 0 && Control.value() < 60);
  std::string Text = Registered.prometheusText();
  for (const char *Line :
       {"control_bytes_total 5000000000\n", "\ncontrol_cpu_seconds ",
        "\nprocess_cpu_seconds_total ", "\nprocess_threads 1\n"})
    STRCMP_CONTAINS(Line, Text.c_str());
  CHECK(Text.find("process_resident_memory_bytes 0\n") == std::string::npos);
}
