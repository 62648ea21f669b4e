//===- DrainingFleet.cpp - Fleet for draining under load ------------------===//
//
// See DrainingFleet.h.
//
//===----------------------------------------------------------------------===//

#include "DrainingFleet.h"

#include "Support/WaitUntil.h"

namespace figlift::test {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Calls that the other targets must complete without a new request at the
/// draining target.
static constexpr size_t CallsWithoutNewRequest = 40;

FleetOptions drainingFleet() {
  FleetOptions Options = smallFleet();
  TargetOptions Engine = Options.Targets[0];
  // Long streams last less than 1 s, so that a test completes many calls.
  Engine.StandInFlags = {"--decode-step", "4ms", "--prefill-rate", "100000"};
  const TargetOptions Service = Options.Targets[2];
  Options.Targets.clear();
  for (int Number = 1; Number <= 4; ++Number) {
    Options.Targets.push_back(Engine);
    Options.Targets.back().Id = "lm-desk-" + std::to_string(Number);
  }
  for (int Number = 1; Number <= 2; ++Number) {
    Options.Targets.push_back(Service);
    Options.Targets.back().Id = "booking-core-" + std::to_string(Number);
  }
  Options.VmListLag = ListLag;
  return Options;
}

size_t receivedRequests(const Fleet &TargetFleet, const std::string &Target) {
  const json Report = TargetFleet.book(Target);
  if (Report.contains("requests"))
    return Report["requests"].size();
  return Report.value("received", size_t(0));
}

size_t interruptedRequests(const Fleet &TargetFleet,
                           const std::string &Target) {
  size_t Count = 0;
  const json Report = TargetFleet.book(Target);
  for (const json &Request : Report.value("requests", json::array()))
    Count +=
        Request["outcome"] != "finished" && Request["outcome"] != "running";
  return Count;
}

std::optional<milliseconds>
timeToLastRequest(const Fleet &TargetFleet, MixedCallers &Load,
                  const std::string &Target,
                  steady_clock::time_point NoticeTime, size_t Before) {
  const auto End = NoticeTime + 2 * Limit;
  auto LastChange = NoticeTime;
  while (steady_clock::now() < End) {
    // Checked every ten calls, to bound the time of the last new request.
    size_t Received = Before;
    bool Unchanged = false;
    for (size_t Calls = 0; Calls < CallsWithoutNewRequest; Calls += 10) {
      if (!Load.waitForSuccesses(10, Limit))
        return std::nullopt;
      Received = receivedRequests(TargetFleet, Target);
      Unchanged = Received == Before;
      if (!Unchanged)
        break;
    }
    if (Unchanged)
      return std::chrono::duration_cast<milliseconds>(LastChange - NoticeTime);
    Before = Received;
    LastChange = steady_clock::now();
  }
  return std::nullopt;
}

} // namespace figlift::test
