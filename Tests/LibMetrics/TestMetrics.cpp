//===- TestMetrics.cpp - Numbers and their output ---------------*- C++ -*-===//
//
// Quantiles against known distributions, counting over threads, and the text
// that Prometheus reads.
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
  /// Not a plain member: CppUTest makes its groups by a `new` of its own, which
  /// does not keep the alignment of a cache line.
  std::unique_ptr<Summary> Held =
      std::make_unique<Summary>(seconds(60), [this] { return Now; });
  Summary &Values = *Held;

  void expectNear(double Wanted, double Found, double Tolerance) {
    DOUBLES_EQUAL(Wanted, Found, Tolerance);
  }
};

TEST(Metrics, QuantilesOfFewValuesAreExact) {
  // Symptom: wild latencies in the first seconds of a process. Cause: the
  // estimate is undefined until it has seen as many values as it has markers.
  CHECK(std::isnan(Values.read().Quantiles[0]));
  for (double Value : {5., 1., 4., 2., 3.})
    Values.observe(Value);
  auto Read = Values.read();
  LONGS_EQUAL(5, Read.Count);
  expectNear(15, Read.Sum, 0);
  expectNear(3, Read.Quantiles[0], 0);
  expectNear(5, Read.Quantiles[2], 0);
}

TEST(Metrics, QuantilesOfManyValuesAreClose) {
  std::mt19937_64 Random(3);
  std::exponential_distribution<double> Latency(1.0);
  for (int I = 0; I < 100000; ++I)
    Values.observe(Latency(Random));
  auto Read = Values.read();
  // Quantiles of the exponential distribution are -ln(1 - p).
  expectNear(0.693, Read.Quantiles[0], 0.03);
  expectNear(2.303, Read.Quantiles[1], 0.1);
  expectNear(4.605, Read.Quantiles[2], 0.3);
}

TEST(Metrics, OldValuesLeaveTheQuantiles) {
  // Symptom: a slow minute of yesterday still shows as today's latency.
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

TEST(Metrics, ThreadsLoseNothing) {
  Registry Names;
  Counter &Count = Names.counter("requests_total", "Requests.");
  Summary &Times = Names.summary("seconds", "Time.");
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

TEST(Metrics, PrintsWhatPrometheusReads) {
  Registry Names;
  Names.counter("refused_total", "Refusals.", {{"code", "201"}}).add(2);
  Names.counter("refused_total", "ignored", {{"code", "201"}}).add(1);
  Names.gauge("odd", "A \\ and\na break.", {{"name", "a\"b\\c\nd"}}).set(-1.5);
  Names.summary("wait_seconds", "Wait.")
      .observe(std::chrono::milliseconds(250));
  Names.readGauge("read", "Read late.", [] { return 7.0; });
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
               Names.prometheusText().c_str());
}

TEST(Metrics, MeasuresTheProcess) {
  Registry Names;
  registerProcessMetrics(Names);
  registerControlBytes(Names, [] { return uint64_t{5'000'000'000}; });
  Counter &Control = controlCpuSeconds(Names);
  {
    ControlCpuScope Scope(Control);
    volatile double Work = 0;
    for (int I = 0; I < 2'000'000; ++I)
      Work = Work + 1;
  }
  CHECK(Control.value() > 0 && Control.value() < 60);
  std::string Text = Names.prometheusText();
  for (const char *Line :
       {"control_bytes_total 5000000000\n", "\ncontrol_cpu_seconds ",
        "\nprocess_cpu_seconds_total ", "\nprocess_threads 1\n"})
    STRCMP_CONTAINS(Line, Text.c_str());
  CHECK(Text.find("process_resident_memory_bytes 0\n") == std::string::npos);
}
